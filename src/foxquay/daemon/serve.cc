#include "foxquay/daemon/serve.h"

#include <pthread.h>
#include <signal.h>  // NOLINT: sigwait is not in <csignal>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "foxquay/daemon/admin_api.h"
#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/daemon/host.h"
#include "foxquay/daemon/secret.h"
#include "foxquay/daemon/settings_reloader.h"
#include "foxquay/http/server.h"
#include "foxquay/log/log.h"
#include "foxquay/metrics/registry.h"

namespace foxquay::daemon {
namespace internal {

/// Maximum time to wait at shutdown until the outcomes of the last protected
/// requests are committed.
constexpr std::chrono::seconds kFlushTimeout{2};

sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  // SIGUSR1 wakes the main thread when a drain has ended.
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);  // NOLINT: the result is of no use
  return signals;
}

int AwaitSignal(const sigset_t& signals) {
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
  return received;
}

[[noreturn]] void ExitAtOnce(const Host& host) {
  for (const std::string& name : host.OpenRequests()) {
    host.Log("event=cut-off request=" + name);
  }
  host.Log("event=stopped reason=second-signal");
  _exit(EXIT_FAILURE);
}

void ReloadSettings(SettingsReloader& reloader, ControlNode& control) {
  const auto settings = reloader.Read();
  if (!settings) return;
  log::SetLevel(log::ParseLevel(settings->log.level));
  control.AddSeeds(settings->join.seeds);
}

void DrainOnSignal(Host& host, ControlNode& control, SettingsReloader& reloader,
                   const sigset_t& signals) {
  int received = 0;
  while ((received = AwaitSignal(signals)) == SIGUSR1 || received == SIGHUP) {
    if (received == SIGHUP) ReloadSettings(reloader, control);
  }
  std::thread drain([&host] {
    host.Drain();
    kill(getpid(), SIGUSR1);
  });
  while ((received = AwaitSignal(signals)) == SIGHUP) {
    ReloadSettings(reloader, control);
  }
  if (received != SIGUSR1) ExitAtOnce(host);
  drain.join();
}

struct Secrets {
  std::string peer_key;
  std::string operator_token;
};

/// Reads the peer key and the operator token; logs an error for each that
/// cannot be used.
std::optional<Secrets> ReadSecrets(const schema::SecuritySettings& settings) {
  const auto read = [](const std::string& file) {
    auto secret = ReadSecret(file);
    if (!secret) {
      log::Write(
          log::Level::kError, "secret_unusable",
          {{"file", file},
           {"error", secret.error().message()},
           {"remedy",
            "create it with mode 0600 and the secret on its first line"}});
    }
    return secret;
  };
  const auto key = read(settings.peer_key_file);
  const auto token = read(settings.operator_token_file);
  if (!key || !token) return std::nullopt;
  return Secrets{key.value(), token.value()};
}

/// Returns the wall clock in milliseconds, so that each start of a host has a
/// higher incarnation than the one before.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
}

/// Logs `error` if it is set and returns whether it is; `part` names the
/// listener that failed to start.
bool LogStartError(std::string_view part, const std::string& address,
                   std::error_code error) {
  if (!error) return false;
  log::Write(log::Level::kError, "start_failed",
             {{"part", std::string(part)},
              {"address", address},
              {"error", error.message()}});
  return true;
}

/// Returns the hooks through which Traffic calls the control node. `control` is
/// empty at the time of the call and must be set before the host starts.
ControlHooks MakeHooks(const std::unique_ptr<ControlNode>& control,
                       metrics::Registry& registry) {
  ControlHooks hooks;
  hooks.request_claim = [&control](ClaimRequest&& request) {
    control->RequestClaim(std::move(request));
  };
  hooks.release_claim = [&control](ClaimRelease&& release) {
    control->ReleaseClaim(std::move(release));
  };
  hooks.record_outcome = [&control](ClaimRecord&& record) {
    control->RecordOutcome(std::move(record));
  };
  hooks.announcement_received =
      [&control](const schema::Announcement& announcement) {
        control->Announce(announcement);
      };
  hooks.withdrawal_received = [&control](const core::UpstreamId& upstream) {
    control->Withdraw(upstream);
  };
  hooks.entry_answer = [&control](const core::DataCentreId& data_centre) {
    return control->Entry(data_centre);
  };
  hooks.drain_started = [&control] { control->StartDrain(); };
  hooks.log = [](const std::string& line) {
    log::WriteLine(log::Level::kInfo, line);
  };
  hooks.record_time =
      [&registry](metrics::Series series, const core::WorkspaceId& workspace,
                  core::TrafficClass traffic_class, core::Duration duration) {
        registry.Record(series, workspace, traffic_class, duration);
      };
  hooks.request_ended = [&registry](const RequestEnd& end) {
    registry.Add("foxquay_requests_total",
                 "outcome=\"" + std::string(core::Name(end.outcome)) + "\"");
    log::Write(log::Level::kInfo, "request_ended",
               {{"request", end.request},
                {"workspace", end.workspace},
                {"class", std::string(core::Name(end.traffic_class))},
                {"outcome", std::string(core::Name(end.outcome))},
                {"tokens", end.tokens},
                {"total_ms",
                 std::chrono::duration<double, std::milli>(end.total).count()},
                {"reason", end.reason}});
  };
  return hooks;
}

/// Returns the sink through which the control node updates `traffic`.
ControlSink MakeSink(Traffic& traffic) {
  ControlSink sink;
  sink.set_upstreams = [&traffic](std::vector<schema::Announcement> upstreams) {
    traffic.SetUpstreams(std::move(upstreams));
  };
  sink.set_policy = [&traffic](dispatch::PolicyChanged policy) {
    traffic.SetPolicy(std::move(policy));
  };
  sink.set_admission = [&traffic](dispatch::AdmissionChanged admission) {
    traffic.SetAdmission(std::move(admission));
  };
  sink.decide_claim = [&traffic](dispatch::ClaimDecided decision) {
    traffic.DecideClaim(std::move(decision));
  };
  sink.free_capacity = [&traffic] { return traffic.FreeCapacity(); };
  sink.open_requests = [&traffic] { return traffic.OpenRequests().size(); };
  return sink;
}

}  // namespace internal

int Serve(const std::string& file, const schema::Settings& settings) {
  const sigset_t signals = internal::BlockSignals();
  log::Configure(log::ParseLevel(settings.log.level), settings.log.file);
  const auto secrets = internal::ReadSecrets(settings.security);
  if (!secrets) return kExitConfig;
  const http::Library library;
  metrics::Registry registry;
  std::unique_ptr<ControlNode> control;
  const ControlHooks hooks = internal::MakeHooks(control, registry);
  Host host(settings, hooks);
  control = std::make_unique<ControlNode>(settings, secrets->peer_key,
                                          internal::NewIncarnation(),
                                          internal::MakeSink(host.traffic()));
  AdminApi api(*control, registry, secrets->operator_token,
               [] { kill(getpid(), SIGTERM); });
  http::Server admin({settings.limits.max_body_bytes}, api.Routes());
  const bool started =
      !internal::LogStartError("control", settings.listeners.peer,
                               control->Start()) &&
      !internal::LogStartError("admin", settings.listeners.admin,
                               admin.Start(settings.listeners.admin)) &&
      !host.Start();
  if (!started) _exit(EXIT_FAILURE);
  SettingsReloader reloader(file, settings);
  internal::DrainOnSignal(host, *control, reloader, signals);
  admin.Stop();
  control->Flush(internal::kFlushTimeout);
  control->Retire();
  control->AwaitRetirement();
  control->Stop();
  // Canceled legs to an unresponsive upstream may still block their threads in
  // the HTTP client, which offers no way to interrupt them. Exit without
  // joining these threads.
  _exit(EXIT_SUCCESS);
}

}  // namespace foxquay::daemon
