// Hostile callers at processes whose machine is small. What is checked does not
// depend on the speed of the machine.
#include "platform/crowds/crowd.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "platform/crowds/endless_upstream.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::crowds {
namespace {

/// Memory and descriptors of the machine that each process runs on.
constexpr std::size_t kMemoryKib = std::size_t{128} << 10U;
constexpr std::size_t kDescriptors = 256;
/// Descriptors that may be in use; the others are left for upstreams and files.
constexpr std::size_t kDescriptorBound = 240;

/// Connections of one crowd to one listener.
constexpr std::size_t kCallers = 128;

/// Bytes that a caller sends at most in place of sending without end.
constexpr std::size_t kEndlessBytes = std::size_t{8} << 20U;

/// Largest bodies that the configuration and the control hosts allow.
constexpr std::size_t kBodyBytes = std::size_t{1} << 20U;
constexpr std::size_t kControlBodyBytes = 600'000;

constexpr std::size_t kBlockBytes = std::size_t{64} << 10U;
constexpr std::chrono::seconds kPatience{60};
constexpr std::chrono::milliseconds kPollInterval{200};

/// The hosts under attack.
constexpr std::size_t kControlHost = 0;
constexpr std::size_t kEntryHost = soak::kControlHosts;

/// Repeats `text` until it is a block.
std::string Block(const std::string& text) {
  std::string block;
  while (block.size() < kBlockBytes) block += text;
  return block;
}

Message Endless(const std::string& begin, const std::string& repeated) {
  const std::string block = Block(repeated);
  return {begin, block, kEndlessBytes / block.size()};
}

std::string Head(const std::string& target, const std::string& fields) {
  return "PUT " + target + " HTTP/1.1\r\nHost: soak.example\r\n" + fields +
         "\r\n";
}

std::string Chunked(const std::string& target) {
  return Head(target, "Transfer-Encoding: chunked\r\n");
}

/// Returns a request with a body of `bytes` of which the last `missing` are
/// not sent.
Message Body(const std::string& target, std::size_t bytes,
             std::size_t missing) {
  return {Head(target, "Content-Length: " + std::to_string(bytes) + "\r\n"),
          std::string(kBlockBytes, 'x'), (bytes - missing) / kBlockBytes,
          std::string((bytes - missing) % kBlockBytes, 'x')};
}

/// Returns a request with a body in chunks of which the last one is missing.
Message Pieces(const std::string& target, std::size_t bytes) {
  const std::string piece = "400\r\n" + std::string(0x400, 'x') + "\r\n";
  return {Chunked(target), piece, bytes / 0x400};
}

/// A cluster of processes with little memory and few descriptors.
class SmallCluster {
 public:
  SmallCluster() : scenario_(MakeOptions()), crowd_(scenario_.context()) {
    scenario_.AwaitServing();
  }

  [[nodiscard]] Crowd& crowd() { return crowd_; }
  [[nodiscard]] scenarios::Scenario& scenario() { return scenario_; }
  [[nodiscard]] std::string address(std::size_t host) {
    return scenario_.cluster().address(host);
  }
  [[nodiscard]] std::string partner_address(std::size_t host) {
    return scenario_.cluster().partner_address(host);
  }
  [[nodiscard]] std::string peer_address(std::size_t host) {
    return scenario_.cluster().peer_address(host);
  }

  /// Sends a message to the listeners of an entry host for callers and for
  /// other hosts.
  void AttackEntry(const Message& message) {
    crowd_.Attack(address(kEntryHost), message, kCallers / 2);
    crowd_.Attack(partner_address(kEntryHost), message, kCallers / 2);
  }
  void AttackControl(const Message& message) {
    crowd_.Attack(address(kControlHost), message, kCallers);
  }

  /// Runs until nothing more is taken from the crowd, then checks that the
  /// processes live within their machines and serve ordinary callers.
  void Check() {
    std::size_t sent = crowd_.sent() + 1;
    while (crowd_.sending() > 0 && crowd_.sent() != sent) {
      sent = crowd_.sent();
      scenario_.RunFor(kPollInterval);
      CheckDescriptors();
    }
    for (std::size_t host = 0; host < soak::kHosts; ++host) {
      CAPTURE(host);
      REQUIRE_FALSE(scenario_.cluster().TakeExitStatus(host).has_value());
      CHECK(PeakMemoryKib(host) <= kMemoryKib);
    }
    CheckDescriptors();
    CheckServing();
    CHECK(scenario_.violations().empty());
  }

 private:
  static scenarios::Scenario::Options MakeOptions() {
    scenarios::Scenario::Options options;
    options.models = 0;
    options.apps = 2;
    options.machine = soak::Machine{kMemoryKib, kDescriptors};
    return options;
  }

  std::filesystem::path ProcessFolder(std::size_t host) {
    return "/proc/" + std::to_string(scenario_.cluster().pid(host));
  }

  /// Returns the peak of the resident memory of a host.
  std::size_t PeakMemoryKib(std::size_t host) {
    const std::string label = "VmHWM:";
    for (const std::string& line :
         daemon::Lines(ProcessFolder(host) / "status")) {
      if (line.starts_with(label)) return std::stoul(line.substr(label.size()));
    }
    FAIL("the process has no status");
    return 0;
  }

  void CheckDescriptors() {
    for (std::size_t host = 0; host < soak::kHosts; ++host) {
      CAPTURE(host);
      std::error_code ended;
      const auto open = std::distance(std::filesystem::directory_iterator(
                                          ProcessFolder(host) / "fd", ended),
                                      std::filesystem::directory_iterator());
      CHECK(static_cast<std::size_t>(open) <= kDescriptorBound);
    }
  }

  /// Checks that each entry host answers a request and that the control hosts
  /// acknowledge a configuration, also one that attacks go on at.
  void CheckServing() {
    for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
      CAPTURE(entry);
      const unsigned served = scenario_.served(soak::RequestKind::kRead);
      scenario_.Repeat(kPollInterval,
                       [this, entry] { scenario_.SendPlain("read", entry); });
      CHECK(scenario_.RunUntil(
          [&] { return scenario_.served(soak::RequestKind::kRead) > served; },
          kPatience));
      scenario_.StopRepeating();
    }
    soak::Operator& config_operator = scenario_.config_operator();
    config_operator.ReplaceConfiguration();
    CHECK(scenario_.RunUntil(
        [&] {
          return config_operator.acknowledged() == config_operator.version();
        },
        kPatience));
  }

  scenarios::Scenario scenario_;
  Crowd crowd_;
};

}  // namespace

TEST_CASE("a process outlives trailers without end") {
  SmallCluster cluster;
  const std::string body = Chunked("/read/x") + "1\r\na\r\n0\r\n";
  cluster.AttackEntry(Endless(body, "a: b\r\n"));
  cluster.AttackEntry(Endless(body + "Name: ", "x"));
  cluster.AttackControl(Endless(body, "a: b\r\n"));
  cluster.Check();
}

TEST_CASE("a process outlives chunk lines without end") {
  SmallCluster cluster;
  cluster.AttackEntry(Endless(Chunked("/read/x") + "1;x=", "x"));
  cluster.AttackEntry(Endless(Chunked("/read/x"), "0"));
  cluster.AttackControl(Endless(Chunked("/v1/config") + "1;x=", "x"));
  cluster.Check();
}

TEST_CASE("a process outlives heads without end") {
  SmallCluster cluster;
  const std::string begin = "GET /read/x HTTP/1.1\r\n";
  cluster.AttackEntry(Endless(begin, "a: b\r\n"));
  cluster.AttackEntry(Endless(begin + "Name: ", "x"));
  cluster.AttackControl(Endless(begin, "a: b\r\n"));
  cluster.Check();
}

TEST_CASE("a process outlives many large bodies that stop before their end") {
  SmallCluster cluster;
  cluster.AttackEntry(Body("/read/x", kBodyBytes, 1));
  cluster.AttackControl(Body("/v1/config", kControlBodyBytes, 1));
  cluster.Check();
}

TEST_CASE("a process outlives many large bodies that arrive piece by piece") {
  SmallCluster cluster;
  cluster.AttackEntry(Pieces("/read/x", kBodyBytes));
  cluster.AttackControl(Pieces("/v1/config", kControlBodyBytes));
  cluster.Check();
}

TEST_CASE("a process outlives many whole large bodies") {
  SmallCluster cluster;
  cluster.AttackEntry(Body("/none/x", kBodyBytes, 0));
  cluster.AttackControl(Body("/v1/config", kControlBodyBytes, 0));
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    cluster.scenario().SendLarge("book", 0, kBodyBytes);
  }
  cluster.Check();
}

TEST_CASE("a process outlives bodies far over the limit") {
  SmallCluster cluster;
  const std::size_t bytes = kEndlessBytes * 1000;
  Message announced = Body("/read/x", bytes, 0);
  announced.repeats = kEndlessBytes / kBlockBytes;
  cluster.AttackEntry(announced);
  cluster.AttackEntry(Pieces("/read/x", kEndlessBytes));
  cluster.AttackControl(announced);
  cluster.Check();
}

TEST_CASE("a process outlives requests behind answers that are not read") {
  SmallCluster cluster;
  const std::string request = "GET /none HTTP/1.1\r\nHost: x\r\n\r\n";
  cluster.AttackEntry(Endless("", request));
  cluster.AttackControl(Endless("", request));
  cluster.Check();
}

TEST_CASE("a process outlives messages between hosts that do not end") {
  SmallCluster cluster;
  // The size of the message, a megabyte, as a big-endian number.
  const std::string size("\0\x10\0\0", 4);
  const Message message{size, std::string(kBlockBytes, 'x'),
                        (std::size_t{1} << 20U) / kBlockBytes - 1};
  cluster.crowd().Attack(cluster.peer_address(kEntryHost), message, kCallers);
  cluster.crowd().Attack(cluster.peer_address(kControlHost), message, kCallers);
  cluster.Check();
}

TEST_CASE("a process outlives more connections than it has descriptors") {
  SmallCluster cluster;
  const Message idle{"", "", 0};
  for (unsigned wave = 0; wave < 3; ++wave) {
    cluster.AttackEntry(idle);
    cluster.AttackControl(idle);
    cluster.crowd().Attack(cluster.peer_address(kControlHost), idle, kCallers);
  }
  cluster.Check();
}

TEST_CASE("a process outlives upstreams that send without end") {
  SmallCluster cluster;
  scenarios::Scenario& scenario = cluster.scenario();
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes = Block("x");
  EndlessUpstream upstream(
      scenario.context(),
      {{"", bytes},
       {ok + "Name: ", bytes},
       {ok, "Name: " + std::string(1000, 'x') + "\r\n"},
       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
       {chunked + "1;x=", bytes},
       {chunked, Block("1\r\nx\r\n")},
       {chunked + "1\r\na\r\n0\r\n", Block("Name: x\r\n")},
       {ok + "\r\n", bytes},
       {"HTTP/1.1 503 Service Unavailable\r\n\r\n", bytes}});
  scenario.KeepAnnouncing(
      "endless",
      R"({"service":"app","address":")" + upstream.address() +
          R"(","zone":"east","version":"v1","slots":64,"state":"ready",)"
          R"("cold_left_ms":0,"born":1000,"seq":SEQ})");
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
      scenario.SendPlain("read", entry);
    }
    scenario.RunFor(std::chrono::milliseconds(20));
  }
  CHECK(upstream.begun() > 0);
  cluster.Check();
}

TEST_CASE("a single request of the largest size is served in calm") {
  SmallCluster cluster;
  cluster.scenario().SendLarge("book", 0, kBodyBytes);
  CHECK(cluster.scenario().RunUntil(
      [&] { return cluster.scenario().served(soak::RequestKind::kBook) == 1; },
      kPatience));
  cluster.Check();
}

}  // namespace foxquay::platform::crowds
