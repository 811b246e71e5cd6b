#include "foxquay/transport/peer_transport.h"

#include <sys/resource.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "foxquay/net/socket.h"

namespace foxquay::transport {
namespace {

std::string FreeAddress(boost::asio::io_context& context) {
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Two hosts on loopback that record what they receive.
struct Pair {
  Pair(const std::string& cluster, const std::string& key)
      : a_address(FreeAddress(context)),
        b_address(FreeAddress(context)),
        a(context, {core::HostId("a"), 1, a_address},
          MessageAuthenticator("c", "key"), [](const schema::Envelope&) {}),
        b(context, {core::HostId("b"), 7, b_address},
          MessageAuthenticator(cluster, key),
          [this](schema::Envelope envelope) {
            received.push_back(std::move(envelope));
          }) {
    REQUIRE_FALSE(a.Start());
    REQUIRE_FALSE(b.Start());
    REQUIRE_FALSE(a.SetPeer(core::HostId("b"), b_address));
  }

  ~Pair() {
    a.Stop();
    b.Stop();
    context.restart();
    context.poll();
  }

  void RunUntil(const std::function<bool()>& done) {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!done() && std::chrono::steady_clock::now() < deadline) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
  }

  boost::asio::io_context context;
  std::string a_address;
  std::string b_address;
  std::vector<schema::Envelope> received;
  PeerTransport a;
  PeerTransport b;
};

}  // namespace

TEST_CASE("messages arrive in order with sender and incarnation") {
  Pair pair("c", "key");
  pair.a.Send(core::HostId("b"), "first");
  pair.a.Send(core::HostId("b"), std::string(100000, 'x'));
  pair.RunUntil([&] { return pair.received.size() == 2; });
  REQUIRE(pair.received.size() == 2);
  CHECK(pair.received[0].sender.value() == "a");
  CHECK(pair.received[0].incarnation == 1);
  CHECK(pair.received[0].payload == "first");
  CHECK(pair.received[1].payload.size() == 100000);
}

TEST_CASE("datagrams are delivered") {
  Pair pair("c", "key");
  pair.a.SendDatagram(core::HostId("b"), "probe");
  pair.RunUntil([&] { return pair.received.size() == 1; });
  REQUIRE(pair.received.size() == 1);
  CHECK(pair.received[0].payload == "probe");
}

// Guards against messages accepted from another cluster or from a sender
// without the key.
TEST_CASE("messages with a wrong cluster or key are dropped and counted") {
  const std::string cluster = GENERATE("other", "c");
  Pair pair(cluster, cluster == "c" ? "wrong" : "key");
  pair.a.Send(core::HostId("b"), "tcp");
  pair.a.SendDatagram(core::HostId("b"), "udp");
  pair.RunUntil([&] { return pair.b.counters().rejected == 2; });
  CHECK(pair.b.counters().rejected == 2);
  CHECK(pair.received.empty());
}

// Guards against a size prefix that makes the receiver allocate without bound.
TEST_CASE("an oversized frame closes the connection") {
  Pair pair("c", "key");
  boost::asio::ip::tcp::socket socket(pair.context);
  socket.connect(net::ParseEndpoint(pair.b_address).value());
  boost::asio::write(socket, boost::asio::buffer(std::string(4, '\xff')));
  pair.RunUntil([&] { return pair.b.counters().rejected == 1; });
  CHECK(pair.b.counters().rejected == 1);
}

// Guards against a control thread that accepts in a loop while the process has
// no descriptor left.
TEST_CASE("a full table of descriptors does not occupy the thread") {
  Pair pair("c", "key");
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> held;
  boost::asio::ip::tcp::socket caller(pair.context);
  caller.open(boost::asio::ip::tcp::v4());
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  rlimit low = before;
  low.rlim_cur = 64;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  boost::system::error_code error;
  while (!error) {
    held.push_back(
        std::make_unique<boost::asio::ip::tcp::socket>(pair.context));
    held.back()->open(boost::asio::ip::tcp::v4(), error);
  }
  boost::system::error_code connected;
  caller.connect(net::ParseEndpoint(pair.b_address).value(), connected);
  std::size_t handled = 0;
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
  while (std::chrono::steady_clock::now() < until) {
    handled += pair.context.run_one_for(std::chrono::milliseconds(10));
  }
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK_FALSE(connected);
  CHECK(handled < 100);
  // It accepts again once there are descriptors.
  held.clear();
  pair.a.Send(core::HostId("b"), "late");
  pair.RunUntil([&] { return pair.received.size() == 1; });
  CHECK(pair.received.size() == 1);
}

// Guards against a connection that is not re-established after the peer has
// restarted.
TEST_CASE("a connection is re-established after a failure") {
  Pair pair("c", "key");
  const core::HostId late("late");
  const std::string address = FreeAddress(pair.context);
  REQUIRE_FALSE(pair.a.SetPeer(late, address));
  pair.a.Send(late, "lost");
  pair.RunUntil([&] { return pair.a.counters().dropped == 1; });
  int received = 0;
  PeerTransport restarted(pair.context, {late, 2, address},
                          MessageAuthenticator("c", "key"),
                          [&](const schema::Envelope&) { ++received; });
  REQUIRE_FALSE(restarted.Start());
  pair.RunUntil([&] {
    pair.a.Send(late, "again");
    return received > 0;
  });
  CHECK(received > 0);
  restarted.Stop();
}

// Guards against a reply that is lost in the connection to the process that ran
// on a host before it lost power.
TEST_CASE("the first message to a restarted host arrives") {
  Pair pair("c", "key");
  const core::HostId host("h");
  const std::string address = FreeAddress(pair.context);
  REQUIRE_FALSE(pair.b.SetPeer(host, address));
  int received = 0;
  const auto start = [&](std::uint64_t incarnation) {
    auto process = std::make_unique<PeerTransport>(
        pair.context, PeerTransportOptions{host, incarnation, address},
        MessageAuthenticator("c", "key"),
        [&](const schema::Envelope&) { ++received; });
    REQUIRE_FALSE(process->Start());
    REQUIRE_FALSE(process->SetPeer(core::HostId("b"), pair.b_address));
    return process;
  };
  const auto exchange = [&](PeerTransport& process) {
    const std::size_t before = pair.received.size();
    process.Send(core::HostId("b"), "poll");
    pair.RunUntil([&] { return pair.received.size() > before; });
    pair.b.Send(host, "reply");
  };
  const auto former = start(1);
  exchange(*former);
  pair.RunUntil([&] { return received == 1; });
  REQUIRE(received == 1);
  former->Stop();
  const auto restarted = start(2);
  exchange(*restarted);
  pair.RunUntil([&] { return received == 2; });
  CHECK(received == 2);
  restarted->Stop();
}

// A poll that was written to a connection whose other end had gone was taken
// for delivered, and the host waited for the reply until its time-out.
TEST_CASE(
    "the loss of a message to a host that restarted is reported at once") {
  Pair pair("c", "key");
  const core::HostId host("h");
  const std::string address = FreeAddress(pair.context);
  REQUIRE_FALSE(pair.a.SetPeer(host, address));
  int received = 0;
  int losses = 0;
  pair.a.SetLossHandler([&](const ConnectionLoss&) { ++losses; });
  const auto start = [&](std::uint64_t incarnation) {
    auto process = std::make_unique<PeerTransport>(
        pair.context, PeerTransportOptions{host, incarnation, address},
        MessageAuthenticator("c", "key"),
        [&](const schema::Envelope&) { ++received; });
    REQUIRE_FALSE(process->Start());
    return process;
  };
  const auto former = start(1);
  pair.a.Send(host, "poll");
  pair.RunUntil([&] { return received == 1; });
  REQUIRE(received == 1);
  former->Stop();
  const auto restarted = start(2);
  pair.a.Send(host, "poll");
  const auto limit = std::chrono::steady_clock::now() + kReconnectDelay * 2;
  while (losses == 0 && received == 1 &&
         std::chrono::steady_clock::now() < limit) {
    pair.context.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(losses + received > 1);
  restarted->Stop();
}

}  // namespace foxquay::transport
