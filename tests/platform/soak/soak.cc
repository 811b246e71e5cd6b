// Runs a cluster of the platform's program on loopback, strikes it with faults
// drawn from a seed and checks what callers and upstreams see.
#include <popt.h>
#include <signal.h>  // NOLINT: SIGSTOP is not in <csignal>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "foxquay/net/clock.h"
#include "platform/soak/after.h"
#include "platform/soak/ledger.h"
#include "platform/soak/proxy.h"
#include "platform/soak/site.h"
#include "platform/soak/users.h"
#include "platform/soak/worker.h"

namespace foxquay::platform::soak {
namespace {

constexpr std::size_t kModels = 4;
constexpr std::size_t kApps = 3;
constexpr std::size_t kWorkers = kModels + kApps;

/// Longest pause of a process, fault of a link and pause between two faults.
constexpr int kLongestFaultMs = 7000;
constexpr int kLongestPauseMs = 1200;
constexpr std::chrono::milliseconds kWatch(100);

/// One run: the cluster, its upstreams, callers and operator, and the faults.
class Soak {
 public:
  Soak(const std::string& binary, std::uint64_t seed)
      : random_(seed),
        site_(context_, binary),
        operator_(context_, ledger_, site_.Addresses(true), seed + 1),
        crowd_(context_, ledger_, operator_, site_.Addresses(false), seed + 2) {
    for (std::size_t slot = 0; slot < kWorkers; ++slot) {
      places_.emplace_back(context_, "127.0.3.1");
      StartWorker(slot, false);
    }
  }

  /// Runs for a time; returns whether every promise was kept.
  bool Run(core::Duration length, core::Duration recovery) {
    operator_.Change();
    Await("the site serves at its start", recovery);
    std::cout << "started" << std::endl;
    crowd_.Start();
    Watch();
    striking_ = true;
    Strike();
    RunFor(length);
    striking_ = false;
    Heal();
    const core::Instant healed = net::SteadyNow();
    Await("the site serves again in time", recovery);
    const std::chrono::duration<double> took = net::SteadyNow() - healed;
    crowd_.Stop();
    RunFor(std::chrono::seconds(1));
    ReadBack(recovery);
    Print(took.count());
    return ledger_.broken().empty();
  }

  /// Ends the hosts; their logs stay if a promise was broken.
  void EndProcesses() {
    for (std::size_t host = 0; host < kHosts; ++host) site_.Kill(host);
    if (ledger_.broken().empty()) site_.RemoveFolder();
  }

 private:
  void RunFor(core::Duration duration) { context_.run_for(duration); }

  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  std::size_t DrawHost() {
    return static_cast<std::size_t>(Draw(0, kHosts - 1));
  }

  void Log(const std::string& line) {
    const std::chrono::duration<double> since = net::SteadyNow() - start_;
    std::cout << since.count() << " " << line << std::endl;
  }

  void StartWorker(std::size_t slot, bool same_id) {
    if (!same_id || ids_[slot].empty()) {
      ids_[slot] = "w" + std::to_string(slot) + "-" + std::to_string(++serial_);
    }
    Worker::Options options;
    options.id = ids_[slot];
    options.service = slot < kModels ? "model" : "app";
    options.zone = slot % 2 == 0 ? "east" : "west";
    options.address = places_[slot].address();
    options.ip = "127.0.4." + std::to_string(slot + 1);
    options.seed = random_();
    workers_.emplace_back(
        context_, options, ledger_,
        [this](const std::string& address) { return Find(address); },
        site_.Addresses(true));
    current_[slot] = &workers_.back();
    places_[slot].SetTarget(workers_.back().listener());
  }

  Worker* Find(const std::string& address) {
    for (auto& [slot, worker] : current_) {
      if (worker->options().address == address && worker->alive()) {
        return worker;
      }
    }
    return nullptr;
  }

  /// Starts again what has ended; a process that ends by itself is a fault of
  /// the program unless it was asked to.
  void Watch() {
    After(context_, kWatch, [this] { Watch(); });
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto status = site_.Ended(host);
      if (!status) continue;
      if (!terminated_[host]) {
        ledger_.Report(
            "no process ends by itself",
            "h" + std::to_string(host) + " status " + std::to_string(*status));
      }
      Log("h" + std::to_string(host) + " has ended");
      ledger_.NoteFault(net::SteadyNow());
      Restart(host, Draw(0, 1500));
    }
    for (auto& [slot, worker] : current_) {
      if (!worker->alive() && !waiting_[slot]) {
        waiting_[slot] = true;
        After(context_, std::chrono::milliseconds(Draw(100, 3000)),
              [this, slot = slot] {
                waiting_[slot] = false;
                StartWorker(slot, Draw(0, 1) == 0);
              });
      }
    }
  }

  void Restart(std::size_t host, int after_ms) {
    After(context_, std::chrono::milliseconds(after_ms), [this, host] {
      if (site_.running(host)) return;
      terminated_[host] = false;
      frozen_[host] = false;
      site_.Start(host);
      ledger_.NoteFault(net::SteadyNow());
    });
  }

  void Kill(std::size_t host) {
    if (!site_.running(host)) return;
    Log("kill h" + std::to_string(host));
    site_.Kill(host);
    if (host < kControlHosts && Draw(0, 2) == 0) site_.Tear(host);
    Restart(host, Draw(0, 3000));
  }

  /// A lost disk counts for as long as its host needs to catch up, and only one
  /// may be lost at once; the others must be well by then.
  void LoseDisk() {
    const core::Instant now = net::SteadyNow();
    if (!ledger_.Calm(now)) return;
    const auto host = static_cast<std::size_t>(Draw(0, kControlHosts - 1));
    Log("lose the disk of h" + std::to_string(host));
    site_.Kill(host);
    site_.Wipe(host);
    Restart(host, Draw(0, 1500));
    quiet_until_ = now + kContact + std::chrono::seconds(4);
  }

  void Freeze(std::size_t host) {
    if (!site_.running(host) || frozen_[host]) return;
    const int time = Draw(100, kLongestFaultMs);
    Log("freeze h" + std::to_string(host) + " ms " + std::to_string(time));
    site_.Signal(host, SIGSTOP);
    frozen_[host] = true;
    After(context_, std::chrono::milliseconds(time), [this, host] {
      frozen_[host] = false;
      ledger_.NoteFault(net::SteadyNow());
      site_.Signal(host, SIGCONT);
    });
  }

  void Disturb(const std::string& name, Proxy& proxy) {
    const int time = Draw(100, kLongestFaultMs);
    const int kind = Draw(0, 4);
    Log("disturb " + name + " kind " + std::to_string(kind) + " ms " +
        std::to_string(time));
    if (kind == 0) proxy.Reset();
    if (kind == 1) proxy.SetDelay(std::chrono::milliseconds(Draw(20, 400)));
    if (kind == 2 || kind == 4) proxy.SetSilent(0, true);
    if (kind == 3 || kind == 4) proxy.SetSilent(1, true);
    After(context_, std::chrono::milliseconds(time), [this, &proxy, kind] {
      Restore(proxy);
      ledger_.NoteFault(net::SteadyNow());
      // What a cut has held back is lost with its connection, or arrives late.
      if (kind > 1 && Draw(0, 1) == 0) proxy.Reset();
    });
  }

  static void Restore(Proxy& proxy) {
    proxy.SetDelay({});
    proxy.SetSilent(0, false);
    proxy.SetSilent(1, false);
  }

  void Plan() {
    switch (Draw(0, 4)) {
      case 0:
        return operator_.Change();
      case 1:
        operator_.Change();
        return operator_.Change();
      case 2:
        return operator_.Revoke();
      case 3: {
        const std::size_t host = DrawHost();
        Log("reload h" + std::to_string(host));
        site_.ChangeSettings(host);
        return site_.Signal(host, SIGHUP);
      }
      default:
        Log("drain a worker");
        return current_[DrawWorker()]->Drain();
    }
  }

  std::size_t DrawWorker() {
    return static_cast<std::size_t>(Draw(0, kWorkers - 1));
  }

  void StrikeWorker() {
    Worker& worker = *current_[DrawWorker()];
    const int kind = Draw(0, 2);
    Log("strike worker " + worker.options().id + " kind " +
        std::to_string(kind));
    if (kind == 0) return worker.Crash();
    if (kind == 1) worker.SetCutShare(0.3);
    if (kind == 2) worker.SetPace(8);
    After(context_, std::chrono::milliseconds(Draw(500, kLongestFaultMs)),
          [&worker] {
            worker.SetCutShare(0);
            worker.SetPace(1);
          });
  }

  void Strike() {
    if (!striking_) return;
    After(context_, std::chrono::milliseconds(Draw(0, kLongestPauseMs)),
          [this] { Strike(); });
    operator_.Read(DrawHost());
    const int kind = Draw(0, 19);
    if (kind < 6) return Plan();
    if (net::SteadyNow() < quiet_until_) return;
    if (kind == 6) return LoseDisk();
    ledger_.NoteFault(net::SteadyNow());
    if (kind < 9) return StrikeWorker();
    if (kind < 11) return Kill(DrawHost());
    if (kind < 13) return Freeze(DrawHost());
    if (kind < 15) {
      const std::size_t slot = DrawWorker();
      return Disturb("worker " + std::to_string(slot), places_[slot]);
    }
    if (kind < 17) {
      const std::size_t host = DrawHost();
      return Disturb("h" + std::to_string(host), site_.proxy(host));
    }
    if (kind < 19) {
      const std::size_t host = DrawHost();
      Log("terminate h" + std::to_string(host));
      terminated_[host] = true;
      return site_.Signal(host, SIGTERM);
    }
    const std::size_t hosts = Draw(0, 1) == 0 ? kControlHosts : kHosts;
    for (std::size_t host = 0; host < hosts; ++host) Kill(host);
  }

  void Heal() {
    Log("heal");
    for (std::size_t host = 0; host < kHosts; ++host) {
      Restore(site_.proxy(host));
      site_.Signal(host, SIGCONT);
      Restart(host, 0);
    }
    for (Proxy& place : places_) Restore(place);
  }

  /// Waits until ten more requests of each kind are served; reports if they are
  /// not.
  void Await(const std::string& promise, core::Duration patience) {
    constexpr std::array kAll{Kind::kRead, Kind::kBook, Kind::kStream};
    const core::Instant end = net::SteadyNow() + patience;
    std::map<Kind, unsigned> wanted;
    for (const Kind kind : kAll) wanted[kind] = ledger_.served(kind) + 10;
    const auto served = [&] {
      return std::all_of(kAll.begin(), kAll.end(), [&](Kind kind) {
        return ledger_.served(kind) >= wanted[kind];
      });
    };
    crowd_.Start();
    while (!served() && net::SteadyNow() < end) RunFor(kWatch);
    if (!served()) ledger_.Report(promise, "not within the bound");
    crowd_.Stop();
  }

  void ReadBack(core::Duration patience) {
    const core::Instant end = net::SteadyNow() + patience;
    operator_.ForgetReads();
    for (std::size_t host = 0; net::SteadyNow() < end; ++host) {
      if (operator_.read_back() >= operator_.acknowledged()) return;
      operator_.Read(host);
      RunFor(kWatch);
    }
    ledger_.Report("what was acknowledged is read back",
                   std::to_string(operator_.read_back()) + " of " +
                       std::to_string(operator_.acknowledged()));
  }

  void Print(double recovered) {
    const char* names[] = {"read", "book", "stream"};
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      std::cout << names[kind] << " served "
                << ledger_.served(static_cast<Kind>(kind)) << " of "
                << ledger_.sent(static_cast<Kind>(kind)) << "\n";
    }
    std::cout << "configurations acknowledged up to "
              << operator_.acknowledged() << ", recovered in " << recovered
              << " s\n";
    for (const std::string& broken : ledger_.broken()) {
      std::cout << "BROKEN " << broken << "\n";
    }
    if (!ledger_.broken().empty()) {
      std::cout << "logs kept in " << site_.folder() << "\n";
    }
  }

  boost::asio::io_context context_{1};
  std::mt19937_64 random_;
  Ledger ledger_;
  Site site_;
  Operator operator_;
  Crowd crowd_;
  std::deque<Proxy> places_;
  std::deque<Worker> workers_;
  std::map<std::size_t, Worker*> current_;
  std::map<std::size_t, std::string> ids_;
  std::map<std::size_t, bool> waiting_;
  std::map<std::size_t, bool> terminated_;
  std::map<std::size_t, bool> frozen_;
  core::Instant start_ = net::SteadyNow();
  core::Instant quiet_until_;
  std::uint64_t serial_ = 0;
  bool striking_ = false;
};

}  // namespace
}  // namespace foxquay::platform::soak

int main(int argc, const char** argv) {
  char* binary = nullptr;
  std::int64_t seed = 0;
  int seconds = 30;
  int patience = 15;
  const poptOption table[] = {
      {"binary", 'b', POPT_ARG_STRING, &binary, 0, "foxquay-platform", "FILE"},
      {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "Seed; drawn if 0", "N"},
      {"seconds", 't', POPT_ARG_INT, &seconds, 0, "Time with faults", "N"},
      {"patience", 'p', POPT_ARG_INT, &patience, 0,
       "Seconds until the site must serve again", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("foxquay-soak", argc, argv, table, 0);
  if (poptGetNextOpt(context) < -1 || binary == nullptr) {
    std::cerr << "foxquay-soak: --binary FILE is required; see --help\n";
    return 64;
  }
  if (seed == 0) seed = std::random_device()();
  std::cout << "seed " << seed << std::endl;
  foxquay::platform::soak::Soak soak(binary, static_cast<std::uint64_t>(seed));
  const bool kept =
      soak.Run(std::chrono::seconds(seconds), std::chrono::seconds(patience));
  soak.EndProcesses();
  std::cout << (kept ? "every promise was kept" : "FAILED") << " seed " << seed
            << std::endl;
  std::_Exit(kept ? EXIT_SUCCESS : EXIT_FAILURE);
}
