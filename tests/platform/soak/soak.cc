// Fault-injection test: runs a cluster of foxquay-platform processes and fake
// upstreams on loopback, injects faults and operator actions drawn from a seed,
// and checks invariants from what callers, upstreams and the operator observe.
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
#include "platform/soak/clients.h"
#include "platform/soak/cluster.h"
#include "platform/soak/fake_upstream.h"
#include "platform/soak/invariant_checker.h"
#include "platform/soak/proxy.h"

namespace foxquay::platform::soak {
namespace {

constexpr std::size_t kModelUpstreams = 4;
constexpr std::size_t kAppUpstreams = 3;
constexpr std::size_t kUpstreams = kModelUpstreams + kAppUpstreams;

/// Longest stop of a process or fault of a link, and longest time between two
/// faults.
constexpr int kMaxFaultMs = 7000;
constexpr int kMaxFaultIntervalMs = 1200;
constexpr std::chrono::milliseconds kPollInterval(100);

/// One run: the cluster, its upstreams, callers and operator, and the fault
/// injection.
class Soak {
 public:
  /// With a `previous` build, every host starts with it, and with either build
  /// after each restart, mostly with `binary`.
  Soak(const std::string& binary, const std::string& previous,
       std::uint64_t seed)
      : random_(seed),
        binary_(binary),
        previous_(previous),
        cluster_(context_, previous.empty() ? binary : previous),
        operator_(context_, checker_, cluster_.ProxyAddresses(true), seed + 1),
        load_(context_, checker_, operator_, cluster_.ProxyAddresses(false),
              seed + 2) {
    for (std::size_t index = 0; index < kUpstreams; ++index) {
      upstream_proxies_.emplace_back(context_, "127.0.3.1");
      StartUpstream(index, false);
    }
  }

  /// Injects faults for `duration`, then ends them all and requires the cluster
  /// to serve again within `recovery`. Returns whether every invariant held.
  bool Run(core::Duration duration, core::Duration recovery) {
    operator_.ReplaceConfiguration();
    AwaitServing("the cluster serves after its start", recovery);
    std::cout << "started" << std::endl;
    load_.Start();
    Supervise();
    injecting_ = true;
    InjectFaults();
    RunFor(duration);
    injecting_ = false;
    Heal();
    const core::Instant healed = net::SteadyNow();
    AwaitServing("the cluster serves again within the bound", recovery);
    const std::chrono::duration<double> took = net::SteadyNow() - healed;
    load_.Stop();
    RunFor(std::chrono::seconds(1));
    CheckReadBack(recovery);
    PrintSummary(took.count());
    return checker_.violations().empty();
  }

  /// Kills the hosts; keeps their logs if an invariant was violated.
  void EndProcesses() {
    for (std::size_t host = 0; host < kHosts; ++host) cluster_.Kill(host);
    if (checker_.violations().empty()) cluster_.RemoveFolder();
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

  void StartUpstream(std::size_t index, bool same_id) {
    if (!same_id || upstream_ids_[index].empty()) {
      upstream_ids_[index] =
          "w" + std::to_string(index) + "-" + std::to_string(++incarnations_);
    }
    FakeUpstream::Options options;
    options.id = upstream_ids_[index];
    options.service = index < kModelUpstreams ? "model" : "app";
    options.zone = index % 2 == 0 ? "east" : "west";
    options.address = upstream_proxies_[index].address();
    options.ip = "127.0.4." + std::to_string(index + 1);
    options.seed = random_();
    upstreams_.emplace_back(
        context_, options, checker_,
        [this](const std::string& address) { return UpstreamAt(address); },
        cluster_.ProxyAddresses(true));
    active_upstreams_[index] = &upstreams_.back();
    upstream_proxies_[index].SetTarget(upstreams_.back().listener());
  }

  FakeUpstream* UpstreamAt(const std::string& address) {
    for (auto& [index, upstream] : active_upstreams_) {
      if (upstream->options().address == address && upstream->alive()) {
        return upstream;
      }
    }
    return nullptr;
  }

  /// Restarts hosts and upstreams that have ended. A host that exits without
  /// SIGTERM or SIGKILL violates an invariant.
  void Supervise() {
    After(context_, kPollInterval, [this] { Supervise(); });
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto status = cluster_.TakeExitStatus(host);
      if (!status) continue;
      if (!termination_requested_[host]) {
        checker_.ReportViolation(
            "no process exits by itself",
            "h" + std::to_string(host) + " status " + std::to_string(*status));
      }
      Log("h" + std::to_string(host) + " has exited");
      checker_.RecordFault(net::SteadyNow());
      ScheduleRestart(host, Draw(0, 1500));
    }
    for (auto& [index, upstream] : active_upstreams_) {
      if (!upstream->alive() && !restart_pending_[index]) {
        restart_pending_[index] = true;
        After(context_, std::chrono::milliseconds(Draw(100, 3000)),
              [this, index = index] {
                restart_pending_[index] = false;
                StartUpstream(index, Draw(0, 1) == 0);
              });
      }
    }
  }

  void ScheduleRestart(std::size_t host, int after_ms) {
    After(context_, std::chrono::milliseconds(after_ms), [this, host] {
      if (cluster_.running(host)) return;
      termination_requested_[host] = false;
      frozen_[host] = false;
      if (!previous_.empty()) {
        const bool back = injecting_ && Draw(0, 3) == 0;
        cluster_.SetBinary(host, back ? previous_ : binary_);
      }
      cluster_.Start(host);
      checker_.RecordFault(net::SteadyNow());
    });
  }

  void Kill(std::size_t host) {
    if (!cluster_.running(host)) return;
    Log("SIGKILL h" + std::to_string(host));
    cluster_.Kill(host);
    if (host < kControlHosts && Draw(0, 2) == 0) cluster_.AppendTornWrite(host);
    ScheduleRestart(host, Draw(0, 3000));
  }

  /// Deletes the data of one control host. A replica that lost its data counts
  /// as failed until it has caught up, and the cluster tolerates one such loss
  /// at a time: earlier faults must be over, and no other fault is injected
  /// until it has had time to catch up.
  void LoseDisk() {
    const core::Instant now = net::SteadyNow();
    if (!checker_.Settled(now)) return;
    const auto host = static_cast<std::size_t>(Draw(0, kControlHosts - 1));
    Log("delete the data of h" + std::to_string(host));
    cluster_.Kill(host);
    cluster_.DeleteData(host);
    ScheduleRestart(host, Draw(0, 1500));
    no_faults_until_ = now + kReconnectBound + std::chrono::seconds(4);
  }

  /// Stops a process with SIGSTOP for a while.
  void Freeze(std::size_t host) {
    if (!cluster_.running(host) || frozen_[host]) return;
    const int duration_ms = Draw(100, kMaxFaultMs);
    Log("SIGSTOP h" + std::to_string(host) + " ms " +
        std::to_string(duration_ms));
    cluster_.Signal(host, SIGSTOP);
    frozen_[host] = true;
    After(context_, std::chrono::milliseconds(duration_ms), [this, host] {
      frozen_[host] = false;
      checker_.RecordFault(net::SteadyNow());
      cluster_.Signal(host, SIGCONT);
    });
  }

  void DisturbLink(const std::string& name, Proxy& proxy) {
    const int duration_ms = Draw(100, kMaxFaultMs);
    const int kind = Draw(0, 4);
    Log("link fault at " + name + " kind " + std::to_string(kind) + " ms " +
        std::to_string(duration_ms));
    if (kind == 0) proxy.Reset();
    if (kind == 1) proxy.SetDelay(std::chrono::milliseconds(Draw(20, 400)));
    if (kind == 2 || kind == 4) proxy.SetBlocked(0, true);
    if (kind == 3 || kind == 4) proxy.SetBlocked(1, true);
    After(context_, std::chrono::milliseconds(duration_ms),
          [this, &proxy, kind] {
            RestoreLink(proxy);
            checker_.RecordFault(net::SteadyNow());
            // Blocked data arrives late, or is lost if the connections are
            // reset.
            if (kind > 1 && Draw(0, 1) == 0) proxy.Reset();
          });
  }

  static void RestoreLink(Proxy& proxy) {
    proxy.SetDelay({});
    proxy.SetBlocked(0, false);
    proxy.SetBlocked(1, false);
  }

  /// Performs one action of an operator, which is no fault.
  void RunPlannedAction() {
    switch (Draw(0, 4)) {
      case 0:
        return operator_.ReplaceConfiguration();
      case 1:
        operator_.ReplaceConfiguration();
        return operator_.ReplaceConfiguration();
      case 2:
        return operator_.RevokeKey();
      case 3: {
        const std::size_t host = DrawHost();
        Log("SIGHUP h" + std::to_string(host));
        cluster_.RewriteSettings(host);
        return cluster_.Signal(host, SIGHUP);
      }
      default:
        Log("drain an upstream");
        return active_upstreams_[DrawUpstream()]->Drain();
    }
  }

  std::size_t DrawUpstream() {
    return static_cast<std::size_t>(Draw(0, kUpstreams - 1));
  }

  void InjectUpstreamFault() {
    FakeUpstream& upstream = *active_upstreams_[DrawUpstream()];
    const int kind = Draw(0, 2);
    Log("fault of upstream " + upstream.options().id + " kind " +
        std::to_string(kind));
    if (kind == 0) return upstream.Crash();
    if (kind == 1) upstream.SetAbortProbability(0.3);
    if (kind == 2) upstream.SetSlowdown(8);
    After(context_, std::chrono::milliseconds(Draw(500, kMaxFaultMs)),
          [&upstream] {
            upstream.SetAbortProbability(0);
            upstream.SetSlowdown(1);
          });
  }

  /// Injects one fault or performs one planned action, and schedules the next.
  void InjectFaults() {
    if (!injecting_) return;
    After(context_, std::chrono::milliseconds(Draw(0, kMaxFaultIntervalMs)),
          [this] { InjectFaults(); });
    operator_.ReadConfiguration(DrawHost());
    const int kind = Draw(0, 19);
    if (kind < 6) return RunPlannedAction();
    if (net::SteadyNow() < no_faults_until_) return;
    if (kind == 6) return LoseDisk();
    checker_.RecordFault(net::SteadyNow());
    if (kind < 9) return InjectUpstreamFault();
    if (kind < 11) return Kill(DrawHost());
    if (kind < 13) return Freeze(DrawHost());
    if (kind < 15) {
      const std::size_t index = DrawUpstream();
      return DisturbLink("upstream " + std::to_string(index),
                         upstream_proxies_[index]);
    }
    if (kind < 17) {
      const std::size_t host = DrawHost();
      return DisturbLink("h" + std::to_string(host), cluster_.proxy(host));
    }
    if (kind < 19) {
      const std::size_t host = DrawHost();
      Log("SIGTERM h" + std::to_string(host));
      termination_requested_[host] = true;
      return cluster_.Signal(host, SIGTERM);
    }
    const std::size_t hosts = Draw(0, 1) == 0 ? kControlHosts : kHosts;
    for (std::size_t host = 0; host < hosts; ++host) Kill(host);
  }

  /// Ends the faults of links and processes and starts hosts that are down.
  void Heal() {
    Log("heal");
    for (std::size_t host = 0; host < kHosts; ++host) {
      RestoreLink(cluster_.proxy(host));
      cluster_.Signal(host, SIGCONT);
      ScheduleRestart(host, 0);
    }
    for (Proxy& proxy : upstream_proxies_) RestoreLink(proxy);
  }

  /// Sends requests until ten more of each kind are served; reports a violation
  /// of `invariant` if that takes longer than `timeout`.
  void AwaitServing(const std::string& invariant, core::Duration timeout) {
    constexpr std::array kAll{RequestKind::kRead, RequestKind::kBook,
                              RequestKind::kStream};
    const core::Instant end = net::SteadyNow() + timeout;
    std::map<RequestKind, unsigned> goal;
    for (const RequestKind kind : kAll) goal[kind] = checker_.served(kind) + 10;
    const auto served = [&] {
      return std::all_of(kAll.begin(), kAll.end(), [&](RequestKind kind) {
        return checker_.served(kind) >= goal[kind];
      });
    };
    load_.Start();
    while (!served() && net::SteadyNow() < end) RunFor(kPollInterval);
    if (!served()) checker_.ReportViolation(invariant, "not within the bound");
    load_.Stop();
  }

  /// Reads the configuration from each control host in turn until the newest
  /// acknowledged version, or a newer one, is read.
  void CheckReadBack(core::Duration timeout) {
    const core::Instant end = net::SteadyNow() + timeout;
    operator_.ResetReadBack();
    for (std::size_t host = 0; net::SteadyNow() < end; ++host) {
      if (operator_.read_back() >= operator_.acknowledged()) return;
      operator_.ReadConfiguration(host);
      RunFor(kPollInterval);
    }
    checker_.ReportViolation("an acknowledged configuration is read back",
                             std::to_string(operator_.read_back()) + " of " +
                                 std::to_string(operator_.acknowledged()));
  }

  void PrintSummary(double recovered) {
    const char* names[] = {"read", "book", "stream"};
    for (std::size_t kind = 0; kind < kRequestKinds; ++kind) {
      std::cout << names[kind] << " served "
                << checker_.served(static_cast<RequestKind>(kind)) << " of "
                << checker_.sent(static_cast<RequestKind>(kind)) << "\n";
    }
    std::cout << "configurations acknowledged up to "
              << operator_.acknowledged() << ", recovered in " << recovered
              << " s\n";
    for (const std::string& violation : checker_.violations()) {
      std::cout << "BROKEN " << violation << "\n";
    }
    if (!checker_.violations().empty()) {
      std::cout << "logs kept in " << cluster_.folder() << "\n";
    }
  }

  boost::asio::io_context context_{1};
  std::mt19937_64 random_;
  InvariantChecker checker_;
  const std::string binary_;
  const std::string previous_;  ///< Empty unless two builds run.
  Cluster cluster_;
  Operator operator_;
  LoadGenerator load_;
  std::deque<Proxy> upstream_proxies_;
  std::deque<FakeUpstream> upstreams_;
  std::map<std::size_t, FakeUpstream*> active_upstreams_;
  std::map<std::size_t, std::string> upstream_ids_;
  std::map<std::size_t, bool> restart_pending_;
  std::map<std::size_t, bool> termination_requested_;
  std::map<std::size_t, bool> frozen_;
  core::Instant start_ = net::SteadyNow();
  core::Instant no_faults_until_;
  std::uint64_t incarnations_ = 0;
  bool injecting_ = false;
};

}  // namespace
}  // namespace foxquay::platform::soak

int main(int argc, const char** argv) {
  char* binary = nullptr;
  char* previous = nullptr;
  std::int64_t seed = 0;
  int seconds = 30;
  int recovery_seconds = 15;
  const poptOption table[] = {
      {"binary", 'b', POPT_ARG_STRING, &binary, 0, "foxquay-platform", "FILE"},
      {"previous", 'o', POPT_ARG_STRING, &previous, 0,
       "foxquay-platform of the build that runs before", "FILE"},
      {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "Seed; random if 0", "N"},
      {"seconds", 't', POPT_ARG_INT, &seconds, 0, "Seconds with faults", "N"},
      {"patience", 'p', POPT_ARG_INT, &recovery_seconds, 0,
       "Seconds until the cluster must serve again", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("foxquay-soak", argc, argv, table, 0);
  if (poptGetNextOpt(context) < -1 || binary == nullptr) {
    std::cerr << "foxquay-soak: --binary FILE is required; see --help\n";
    return 64;
  }
  if (seed == 0) seed = std::random_device()();
  std::cout << "seed " << seed << std::endl;
  foxquay::platform::soak::Soak soak(binary,
                                     previous == nullptr ? "" : previous,
                                     static_cast<std::uint64_t>(seed));
  const bool passed = soak.Run(std::chrono::seconds(seconds),
                               std::chrono::seconds(recovery_seconds));
  soak.EndProcesses();
  std::cout << (passed ? "every invariant held" : "FAILED") << " seed " << seed
            << std::endl;
  std::_Exit(passed ? EXIT_SUCCESS : EXIT_FAILURE);
}
