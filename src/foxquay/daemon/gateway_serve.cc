#include "foxquay/daemon/gateway_serve.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/daemon/clock.h"
#include "foxquay/daemon/control_node.h"
#include "foxquay/daemon/control_server.h"
#include "foxquay/daemon/machine.h"
#include "foxquay/daemon/settings_reloader.h"
#include "foxquay/fleet/table.h"
#include "foxquay/gateway/drain_plan.h"
#include "foxquay/gateway/placer.h"
#include "foxquay/gateway/proxy.h"
#include "foxquay/log/log.h"
#include "foxquay/metrics/registry.h"
#include "foxquay/net/clock.h"
#include "foxquay/schema/codec.h"
#include "foxquay/schema/sizes.h"

namespace foxquay::daemon {
namespace internal {

/// Time that a host without the entry role keeps running after SIGTERM, so that
/// messages that have already arrived are answered.
constexpr core::Duration kControlShutdownDelay = std::chrono::milliseconds(300);

/// Fraction of the time in which a change has to be in force for which the
/// configuration and the upstreams count as current after their confirmation.
/// The rest allows for the rates of clocks and for requests on their way.
constexpr double kCurrentFraction = 0.9;

/// Minimum time between two reports on connections that were closed for lack of
/// memory or descriptors.
constexpr core::Duration kBufferReportInterval = std::chrono::seconds(1);

bool IsRoleEnabled(const schema::Settings& settings, schema::Role role) {
  const auto& roles = settings.host.roles;
  return std::find(roles.begin(), roles.end(), role) != roles.end();
}

relay::BudgetOptions MakeBudgetOptions(const schema::Settings& settings) {
  relay::BudgetOptions budget;
  budget.ratio = settings.budget.ratio;
  budget.slack = settings.budget.slack;
  budget.window = settings.budget.window;
  return budget;
}

relay::HedgeOptions MakeHedgeOptions(const schema::Settings& settings) {
  return {settings.hedging.ratio};
}

/// Owns all components of the process. They run on the thread that calls Run,
/// except the control node, which has a thread of its own and posts its results
/// to this one.
class Process {
 public:
  Process(const std::string& file, const schema::Settings& settings,
          const gateway::Protocol& protocol,
          const gateway::ControlProtocol& control)
      : settings_(settings),
        reloader_(file, settings),
        grace_(settings.limits.grace),
        has_entry_role_(IsRoleEnabled(settings, schema::Role::kEntry)),
        has_control_role_(IsRoleEnabled(settings, schema::Role::kControl)),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        timer_(context_),
        buffers_(MakeCallerLimits(settings.limits, ReadMachine())),
        ready_server_(context_, MakeHandlers([this](const net::Request&) {
                        return ReadyPage();
                      })),
        metrics_server_(context_, MakeHandlers([this](const net::Request&) {
                          return MetricsPage();
                        })),
        proxy_(context_, protocol, MakeBudgetOptions(settings), registry_,
               std::random_device()(),
               [this](std::vector<core::UpstreamId> upstreams) {
                 node_.ReportSuspected(std::move(upstreams));
               }),
        placer_(context_, protocol, proxy_.relay().upstreams().hold_offs(),
                [this](const core::UpstreamId& upstream,
                       const std::optional<schema::LayerRange>& layers) {
                  node_.HandleLayers(upstream, layers);
                }),
        node_(settings, "foxquay", Incarnation(), Sink()),
        control_server_(context_, node_, control, schema::kMaxFleetBytes) {
    ready_server_.SetBudget(buffers_);
    metrics_server_.SetBudget(buffers_);
    proxy_.SetBufferBudget(buffers_);
    control_server_.SetBufferBudget(buffers_);
  }

  int Run() {
    proxy_.relay().SetHedging(MakeHedgeOptions(settings_));
    proxy_.SetLeaveHandler([this] {
      PublishLimitReport();
      node_.AskForLeaves();
    });
    std::signal(SIGPIPE, SIG_IGN);
    if (!Start()) return EXIT_FAILURE;
    AwaitSignal();
    Tick();
    context_.run();
    node_.Stop();
    log::Write(log::Level::kInfo, "stopped",
               {{"host", settings_.host.id}, {"open", proxy_.open_requests()}});
    return EXIT_SUCCESS;
  }

 private:
  static std::uint64_t Incarnation() {
    return static_cast<std::uint64_t>(WallNow().time_since_epoch().count());
  }

  /// Returns the handlers of a server whose requests are answered synchronously
  /// by `answer`; used for the readiness and the metrics listener.
  net::ServerHandlers MakeHandlers(
      std::function<net::Response(const net::Request&)> answer) {
    return {[this, answer = std::move(answer)](net::ExchangeId exchange,
                                               net::Request&& request) {
              net::Server& server = request.target == "/metrics"
                                        ? metrics_server_
                                        : ready_server_;
              server.Respond(exchange, answer(request));
            },
            [](net::ExchangeId) {}};
  }

  net::Response MetricsPage() {
    registry_.Set("foxquay_open_requests",
                  static_cast<double>(proxy_.open_requests()));
    registry_.Set("foxquay_held_requests",
                  static_cast<double>(proxy_.relay().held()));
    registry_.Set("foxquay_ready", proxy_.ready() ? 1 : 0);
    if (const auto age = proxy_.configuration_age()) {
      registry_.Set("foxquay_configuration_age_seconds",
                    std::chrono::duration<double>(*age).count());
    }
    registry_.Set("foxquay_leads", leads_ ? 1 : 0);
    registry_.Set("foxquay_disk_full", node_.DiskFull() ? 1 : 0);
    registry_.Set("foxquay_upstreams", static_cast<double>(upstreams_));
    registry_.Set("foxquay_buffer_bytes", static_cast<double>(buffers_.held()));
    registry_.Set("foxquay_buffer_limit_bytes",
                  static_cast<double>(buffers_.limits().bytes));
    registry_.Set("foxquay_connections",
                  static_cast<double>(buffers_.connections()));
    registry_.Set("foxquay_placement_requests", placer_.HeldRequests());
    return net::MakeResponse(200, "text/plain; version=0.0.4",
                             registry_.Expose());
  }

  net::Response ReadyPage() const {
    return proxy_.ready() ? net::MakeResponse(200, "text/plain", "ready\n")
                          : net::MakeResponse(503, "text/plain", "not ready\n");
  }

  bool Listen(const char* part, const std::string& address,
              const std::function<std::error_code()>& listen) {
    if (address.empty()) return true;
    const std::error_code error = listen();
    if (!error) return true;
    log::Write(
        log::Level::kError, "start_failed",
        {{"part", part}, {"address", address}, {"error", error.message()}});
    return false;
  }

  bool Start() {
    const schema::ListenerSettings& listeners = settings_.listeners;
    bool started =
        Listen("peer", listeners.peer, [&] { return node_.Start(); });
    if (has_entry_role_) {
      proxy_.relay().Start(net::SteadyNow());
      proxy_.relay().SetOverloadBegin(settings_.limits.model_use);
      started =
          started &&
          Listen("caller", listeners.caller,
                 [&] { return proxy_.Listen(listeners.caller); }) &&
          Listen("partner", listeners.partner,
                 [&] { return proxy_.ListenForPartners(listeners.partner); }) &&
          Listen("ready", listeners.ready,
                 [&] { return ready_server_.Listen(listeners.ready); });
    }
    if (has_control_role_) {
      started = started && Listen("upstream", listeners.upstream, [&] {
                  return control_server_.Listen(listeners.upstream);
                });
    }
    started = started && Listen("directory", listeners.directory, [&] {
                return control_server_.Listen(listeners.directory);
              });
    started = started && Listen("metrics", listeners.metrics, [&] {
                return metrics_server_.Listen(listeners.metrics);
              });
    log::Write(log::Level::kInfo, "started",
               {{"host", settings_.host.id},
                {"data_centre", settings_.host.data_centre},
                {"entry", has_entry_role_},
                {"control", has_control_role_},
                {"seeds", settings_.join.seeds.size()},
                {"bootstrap", settings_.join.bootstrap},
                {"buffer_bytes", buffers_.limits().bytes},
                {"max_connections", buffers_.limits().connections}});
    return started;
  }

  template <class Function>
  void Post(Function function) {
    boost::asio::post(context_, std::move(function));
  }

  ControlSink Sink() {
    ControlSink sink;
    sink.set_upstreams = [this](std::vector<schema::Announcement> upstreams) {
      Post([this, upstreams = std::move(upstreams)] {
        log::Write(log::Level::kInfo, "upstreams_changed",
                   {{"count", upstreams.size()}});
        upstreams_ = upstreams.size();
        if (has_entry_role_) proxy_.SetUpstreams(upstreams);
        if (has_control_role_) placer_.SetUpstreams(upstreams);
      });
    };
    sink.set_policy = [](const dispatch::PolicyChanged&) {};
    sink.set_admission = [this](const dispatch::AdmissionChanged& admission) {
      Post([this, admission] {
        if (!admission.confirmed) return;
        const core::Instant confirmed = *admission.confirmed;
        const core::Duration valid =
            core::Scale(settings_.limits.change_in_force, kCurrentFraction);
        proxy_.SetLease(gateway::Lease{
            confirmed, confirmed + valid,
            admission.complete_as_of ? *admission.complete_as_of + valid
                                     : confirmed,
            admission.open ? *admission.until : confirmed});
      });
    };
    sink.set_fleet = [this](std::uint64_t, const std::string& encoded) {
      auto fleet = schema::Decode<schema::Fleet>(encoded);
      if (!fleet) {
        log::Write(log::Level::kError, "fleet_malformed",
                   {{"error", fleet.error().message()}});
        return;
      }
      std::set<core::ServiceId> services;
      for (const schema::Service& service : fleet.value().services) {
        services.insert(service.id);
      }
      node_.SetServices(std::move(services));
      auto table =
          std::make_shared<const fleet::Table>(std::move(fleet).value());
      Post([this, table = std::move(table)] {
        if (has_entry_role_) proxy_.SetFleet(table);
        if (has_control_role_) placer_.SetFleet(table);
      });
    };
    sink.free_capacity = [] { return 1.0; };
    sink.count = [this](std::string_view counter, std::string_view labels,
                        std::uint64_t amount) {
      registry_.Add(counter, labels, amount);
    };
    sink.open_requests = [this] { return open_requests_.load(); };
    sink.cut_off = [this] { return cut_off_.load(); };
    sink.set_partners = [this](std::vector<relay::Partner> partners) {
      Post([this, partners = std::move(partners)] {
        proxy_.SetPartners(settings_.host.id, partners);
      });
    };
    sink.retry_usage = [this] {
      const auto usage = retry_usage_.load();
      return usage ? *usage : std::vector<schema::RetryUsage>();
    };
    sink.set_retry_allowances =
        [this](const std::vector<schema::RetryAllowance>& allowances) {
          Post([this, allowances] {
            for (const schema::RetryAllowance& allowance : allowances) {
              proxy_.relay().budget().SetAllowance(
                  allowance.service, allowance.retries, net::SteadyNow());
            }
          });
        };
    sink.set_open_requests = [this](std::uint64_t open) {
      Post([this, open] { proxy_.SetOpenRequests(open); });
    };
    sink.set_entry_hosts =
        [this](const std::map<core::DataCentreId, std::size_t>& hosts) {
          Post([this, hosts] {
            std::size_t all = 0;
            relay::CentreShares shares;
            for (const auto& [centre, count] : hosts) {
              all += count;
              shares[centre] = static_cast<double>(count);
            }
            proxy_.SetHosts(all);
            proxy_.relay().upstreams().SetLocality(settings_.host.data_centre,
                                                   std::move(shares));
          });
        };
    sink.probe_upstreams =
        [this](const std::vector<schema::Announcement>& upstreams) {
          Post([this, upstreams] {
            for (const schema::Announcement& upstream : upstreams) {
              placer_.Probe(upstream, [this, upstream](bool reached) {
                node_.HandleProbeResult(upstream, reached);
              });
            }
          });
        };
    sink.quarantine_report = [this] {
      const auto report = quarantine_report_.load();
      if (!report) return schema::QuarantineReport();
      schema::QuarantineReport current = report->content;
      const core::Duration since = Now() - report->at;
      for (auto& crash : current.crashes) crash.crash.age += since;
      for (auto& answer : current.answered) answer.age += since;
      return current;
    };
    sink.limit_report = [this] {
      const auto report = limit_report_.load();
      if (!report) return schema::LimitReport();
      schema::LimitReport current = report->content;
      const core::Duration since = Now() - report->at;
      for (auto& statement : current.statements) statement.age += since;
      return current;
    };
    sink.set_limits = [this](
                          const std::vector<schema::LimitStatement>& statements,
                          const std::vector<schema::LimitLeave>& leaves) {
      Post([this, statements, leaves, at = Now()] {
        proxy_.SetLimits(statements, leaves, Now() - at);
      });
    };
    sink.set_watched_parts =
        [this](const std::vector<schema::PromptPart>& parts) {
          if (parts.empty() && !watches_parts_) return;
          watches_parts_ = !parts.empty();
          Post([this, parts] {
            proxy_.relay().recorder().SetWatched(parts, net::SteadyNow());
          });
        };
    sink.set_quarantines = [this](const schema::QuarantineTable& table,
                                  std::uint64_t incarnation) {
      Post([this, table, incarnation] {
        if (has_entry_role_) {
          proxy_.SetQuarantines(table, settings_.host.id, incarnation);
        }
      });
    };
    sink.set_leadership = [this](bool leads, std::uint64_t term) {
      Post([this, leads, term] {
        leads_ = leads;
        placer_.SetLeadership(leads, term);
      });
    };
    return sink;
  }

  void AwaitSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) return;
          if (signal == SIGHUP) {
            ReloadSettings();
          } else {
            StartDrain();
          }
          AwaitSignal();
        });
  }

  void ReloadSettings() {
    const auto settings = reloader_.Read();
    if (!settings) return;
    log::SetLevel(log::ParseLevel(settings->log.level));
    grace_ = settings->limits.grace;
    if (drain_started_) proxy_.StartDrain(MakeDrainPlan());
    node_.AddSeeds(settings->join.seeds);
  }

  void StartDrain() {
    if (drain_started_) {
      log::Write(log::Level::kWarn, "stopped_at_once",
                 {{"open", proxy_.open_requests()}});
      context_.stop();
      return;
    }
    drain_started_ = net::SteadyNow();
    log::Write(log::Level::kInfo, "drain_started",
               {{"open", proxy_.open_requests()}});
    node_.StartDrain();
    node_.Retire();
    proxy_.StartDrain(MakeDrainPlan());
  }

  [[nodiscard]] gateway::DrainPlan MakeDrainPlan() const {
    return {*drain_started_, grace_};
  }

  /// Ends the process once its requests are answered and its vote has moved.
  /// Answers that are not written yet count as open.
  void CheckDrain() {
    if (!drain_started_) return;
    const core::Instant now = net::SteadyNow();
    const core::Duration retire_time = std::min(kMaxRetireTime, grace_ / 2);
    if (!node_.MayStop() && now < *drain_started_ + retire_time) return;
    if (!has_entry_role_) {
      if (now >= *drain_started_ + kControlShutdownDelay) context_.stop();
      return;
    }
    const gateway::DrainPlan plan = MakeDrainPlan();
    const bool answered =
        now >= plan.accept_until() && proxy_.open_requests() == 0;
    if (answered || now >= plan.end_by()) context_.stop();
  }

  core::Duration TickInterval() const {
    if (!has_entry_role_) return gateway::kPlacerInterval;
    return proxy_.has_waiting() ? gateway::kReviewInterval
                                : gateway::kIdleReviewInterval;
  }

  void Tick() {
    const core::Instant now = Now();
    if (has_entry_role_) {
      proxy_.Review();
      open_requests_ = proxy_.relay().sent();
      cut_off_ = proxy_.relay().CutOff();
      retry_usage_ = std::make_shared<const std::vector<schema::RetryUsage>>(
          proxy_.relay().budget().Usage(net::SteadyNow()));
      PublishQuarantineReport();
      PublishLimitReport();
    }
    if (now >= next_maintenance_) {
      next_maintenance_ = now + gateway::kPlacerInterval;
      if (has_control_role_) placer_.Review();
      control_server_.Sweep(std::chrono::steady_clock::now());
      ready_server_.Sweep(std::chrono::steady_clock::now());
      metrics_server_.Sweep(std::chrono::steady_clock::now());
      ReportBuffers(now);
      CheckDrain();
    }
    if (now >= next_settings_check_) {
      next_settings_check_ = now + kSettingsPollInterval;
      if (reloader_.Changed()) ReloadSettings();
    }
    timer_.expires_after(TickInterval());
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Tick();
    });
  }

  /// A report for the control hosts, and when it was made.
  template <class Report>
  struct TimedReport {
    Report content;
    core::Instant at;
  };

  /// Logs and counts connections that were closed, and requests that were
  /// refused, for lack of memory or descriptors.
  void ReportBuffers(core::Instant now) {
    const std::uint64_t evicted = buffers_.evicted() - reported_evicted_;
    const std::uint64_t refused = buffers_.refused() - reported_refused_;
    if ((evicted == 0 && refused == 0) || now < next_buffer_report_) return;
    next_buffer_report_ = now + kBufferReportInterval;
    reported_evicted_ += evicted;
    reported_refused_ += refused;
    registry_.Add("foxquay_connections_closed_total", "", evicted);
    registry_.Add("foxquay_requests_refused_for_memory_total", "", refused);
    log::Write(log::Level::kWarn, "connections_closed",
               {{"closed", evicted},
                {"refused", refused},
                {"held_bytes", buffers_.held()},
                {"connections", buffers_.connections()}});
  }

  void PublishLimitReport() {
    schema::LimitReport report = proxy_.relay().ReportLimits(net::SteadyNow());
    const bool empty = report.statements.empty() && report.needs.empty();
    if (empty && !limit_report_.load()) return;
    limit_report_ =
        empty ? nullptr
              : std::make_shared<const TimedReport<schema::LimitReport>>(
                    TimedReport<schema::LimitReport>{std::move(report), Now()});
  }

  void PublishQuarantineReport() {
    schema::QuarantineReport report =
        proxy_.relay().recorder().Report(net::SteadyNow());
    const bool empty = report.crashes.empty() && report.answered.empty() &&
                       report.refused.empty();
    if (empty && !quarantine_report_.load()) return;
    quarantine_report_ =
        empty ? nullptr
              : std::make_shared<const TimedReport<schema::QuarantineReport>>(
                    TimedReport<schema::QuarantineReport>{std::move(report),
                                                          Now()});
  }

  const schema::Settings settings_;
  SettingsReloader reloader_;
  core::Duration grace_;
  const bool has_entry_role_;
  const bool has_control_role_;
  boost::asio::io_context context_{1};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  metrics::Registry registry_;
  net::BufferBudget buffers_;
  net::Server ready_server_;
  net::Server metrics_server_;
  gateway::Proxy proxy_;
  gateway::Placer placer_;
  ControlNode node_;
  ControlServer control_server_;
  /// Read by the control node's thread.
  std::atomic<std::size_t> open_requests_ = 0;
  std::atomic<bool> cut_off_ = false;
  std::atomic<std::shared_ptr<const std::vector<schema::RetryUsage>>>
      retry_usage_;
  std::atomic<std::shared_ptr<const TimedReport<schema::QuarantineReport>>>
      quarantine_report_;
  std::atomic<std::shared_ptr<const TimedReport<schema::LimitReport>>>
      limit_report_;
  bool watches_parts_ = false;  ///< Used by the control node's thread.
  std::optional<core::Instant> drain_started_;  ///< Of net::SteadyNow.
  std::size_t upstreams_ = 0;
  bool leads_ = false;
  std::uint64_t reported_evicted_ = 0;
  std::uint64_t reported_refused_ = 0;
  core::Instant next_buffer_report_;
  core::Instant next_maintenance_;
  core::Instant next_settings_check_;
};

}  // namespace internal

int ServeGateway(const std::string& file, const schema::Settings& settings,
                 const gateway::Protocol& protocol,
                 const gateway::ControlProtocol& control) {
  log::Configure(log::ParseLevel(settings.log.level), settings.log.file);
  const auto process =
      std::make_unique<internal::Process>(file, settings, protocol, control);
  const int status = process->Run();
  std::cout.flush();
  // Threads of the log library may still run after the last line is written.
  // Exit without joining them.
  _exit(status);
}

}  // namespace foxquay::daemon
