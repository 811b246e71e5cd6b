#include "foxquay/fleet/warnings.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "foxquay/core/time.h"

namespace foxquay::fleet {
namespace internal {

constexpr char kDelete = '\x7f';

std::string ItemPath(const char* list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

std::string FormatMs(core::Duration duration) {
  return std::to_string(std::llround(core::ToMilliseconds(duration))) + " ms";
}

/// Collects warnings about one object.
class Reporter {
 public:
  Reporter(std::string path, core::Findings& warnings)
      : path_(std::move(path)), warnings_(warnings) {}

  void ReportIf(bool condition, const std::string& field,
                std::string message) const {
    if (!condition) return;
    const bool whole = path_.empty() || field.empty();
    warnings_.push_back(
        {"", 0, path_ + (whole ? "" : ".") + field, std::move(message)});
  }

 private:
  std::string path_;
  core::Findings& warnings_;
};

bool IsControl(char byte) {
  return static_cast<unsigned char>(byte) < ' ' || byte == kDelete;
}

/// Returns whether a path in a request line can begin with `prefix`. The query
/// of a request is not compared.
bool CanBeginPath(std::string_view prefix) {
  return std::none_of(prefix.begin(), prefix.end(), [](char byte) {
    return IsControl(byte) || byte == ' ' || byte == '?' || byte == '#';
  });
}

/// Returns whether a request header can carry an API key; white space around
/// its value is not part of it.
bool CanBeSent(std::string_view key) {
  const auto blank = [](char byte) { return byte == ' ' || byte == '\t'; };
  return !key.empty() && !blank(key.front()) && !blank(key.back()) &&
         std::none_of(key.begin(), key.end(), IsControl);
}

void CheckTargets(const schema::Route& route, const Reporter& reporter) {
  const core::Duration none = core::Duration::zero();
  reporter.ReportIf(route.target_latency <= none, "target_latency",
                    "no response can be in time");
  reporter.ReportIf(
      route.timeout > none && route.target_latency > route.timeout,
      "target_latency", "exceeds the timeout, " + FormatMs(route.timeout));
  reporter.ReportIf(route.target_gap < none, "target_gap",
                    "must not be negative");
  reporter.ReportIf(route.timeout > none && route.target_gap > route.timeout,
                    "target_gap",
                    "exceeds the timeout, " + FormatMs(route.timeout));
}

/// Compares the targets of a route with the fastest upstream of a service.
void CheckSpeed(const schema::Route& route, const schema::Service& service,
                const Reporter& reporter) {
  const schema::Engine& engine = *service.engine;
  double pace = 1;
  double read_factor = 1;
  for (const schema::Accelerator& accelerator : engine.accelerators) {
    const bool first = &accelerator == &engine.accelerators.front();
    pace = first ? accelerator.pace : std::min(pace, accelerator.pace);
    read_factor = first ? accelerator.read_factor
                        : std::min(read_factor, accelerator.read_factor);
  }
  const std::string name =
      " on the fastest accelerator of service '" + service.id.value() + "'";
  if (engine.prefill_per_s > 0) {
    const auto prefill = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(engine.usual_prompt /
                                      engine.prefill_per_s * read_factor));
    reporter.ReportIf(
        prefill > route.target_latency, "target_latency",
        "the usual prompt alone takes " + FormatMs(prefill) + name);
  }
  const core::Duration gap = core::Scale(engine.step, engine.stride * pace);
  reporter.ReportIf(
      route.target_gap > core::Duration::zero() && gap > route.target_gap,
      "target_gap", "a pass alone takes " + FormatMs(gap) + name);
}

using Services = std::map<core::ServiceId, const schema::Service*>;

void CheckServicesOf(const schema::Route& route, const Services& services,
                     const Reporter& reporter) {
  std::set<core::ServiceId> listed;
  for (const schema::WeightedService& weighted : route.services) {
    const std::string quoted = "'" + weighted.service.value() + "'";
    reporter.ReportIf(!listed.insert(weighted.service).second, "services",
                      "lists service " + quoted + " twice");
    reporter.ReportIf(weighted.weight == 0, "services",
                      "a weight of 0 sends no request to service " + quoted);
    const auto found = services.find(weighted.service);
    if (found == services.end()) continue;
    const bool has_engine = found->second->engine.has_value();
    reporter.ReportIf(route.model && !has_engine, "services",
                      "requests for a model go to service " + quoted +
                          ", which has no engine");
    if (route.model && has_engine && weighted.weight > 0) {
      CheckSpeed(route, *found->second, reporter);
    }
  }
}

void CheckRoute(const schema::Route& route, const Services& services,
                const Reporter& reporter) {
  reporter.ReportIf(route.host.empty(), "host",
                    "matches only requests without a host name");
  reporter.ReportIf(route.host.find(':') != std::string::npos, "host",
                    "matches no request: a port is not compared");
  reporter.ReportIf(!CanBeginPath(route.path_prefix), "path_prefix",
                    "matches no request: no path contains a blank, a control "
                    "character, '?' or '#'");
  reporter.ReportIf(route.max_attempts == 0, "max_attempts",
                    "one attempt is made nevertheless");
  reporter.ReportIf(
      route.resumable && route.kind != schema::RequestKind::kStream,
      "resumable", "has no effect on requests that are not streams");
  CheckTargets(route, reporter);
  CheckServicesOf(route, services, reporter);
}

void CheckRoutes(const schema::Fleet& fleet, core::Findings& warnings) {
  Services services;
  for (const schema::Service& service : fleet.services) {
    services.emplace(service.id, &service);
  }
  std::set<std::string> names;
  for (std::size_t index = 0; index < fleet.routes.size(); ++index) {
    const schema::Route& route = fleet.routes[index];
    const Reporter reporter(ItemPath("routes", index), warnings);
    reporter.ReportIf(!route.name.empty() && !names.insert(route.name).second,
                      "name", "another route has the same name");
    CheckRoute(route, services, reporter);
  }
}

void CheckAccelerators(const schema::Engine& engine, const Reporter& reporter) {
  double largest_mb = 0;
  for (std::size_t index = 0; index < engine.accelerators.size(); ++index) {
    const schema::Accelerator& accelerator = engine.accelerators[index];
    const std::string path = ItemPath("accelerators", index);
    largest_mb = std::max(largest_mb, accelerator.memory_mb);
    reporter.ReportIf(accelerator.memory_mb < engine.layer_mb,
                      path + ".memory_mb", "cannot hold a layer");
    reporter.ReportIf(accelerator.pace <= 0, path + ".pace",
                      "must be greater than 0");
    reporter.ReportIf(accelerator.read_factor <= 0, path + ".read_factor",
                      "must be greater than 0");
  }
  const double needed_mb =
      engine.layer_mb * engine.layers +
      engine.token_memory_mb * (engine.usual_prompt + engine.usual_answer);
  const double chain_mb = largest_mb * engine.max_stages;
  reporter.ReportIf(engine.max_stages > 0 && needed_mb > chain_mb,
                    "accelerators",
                    "the longest chain of the largest accelerator has " +
                        std::to_string(std::llround(chain_mb)) +
                        " MB; all layers and a usual request need " +
                        std::to_string(std::llround(needed_mb)) + " MB");
}

void CheckEngine(const schema::Engine& engine, const Reporter& reporter) {
  reporter.ReportIf(engine.slots == 0, "slots", "no request can be served");
  reporter.ReportIf(engine.prefill_per_s <= 0, "prefill_per_s",
                    "must be greater than 0");
  if (engine.layers == 0) return;
  reporter.ReportIf(engine.layer_mb <= 0, "layer_mb", "must be greater than 0");
  reporter.ReportIf(engine.accelerators.empty(), "accelerators",
                    "without an accelerator no upstream can hold a layer");
  if (!engine.accelerators.empty()) CheckAccelerators(engine, reporter);
}

void CheckServices(const schema::Fleet& fleet, core::Findings& warnings) {
  std::set<core::ServiceId> used;
  for (const schema::Route& route : fleet.routes) {
    for (const schema::WeightedService& weighted : route.services) {
      if (weighted.weight > 0) used.insert(weighted.service);
    }
  }
  for (std::size_t index = 0; index < fleet.services.size(); ++index) {
    const schema::Service& service = fleet.services[index];
    const std::string path = ItemPath("services", index);
    Reporter(path, warnings)
        .ReportIf(!used.contains(service.id), "", "no route uses it");
    if (!service.engine) continue;
    CheckEngine(*service.engine, Reporter(path + ".engine", warnings));
  }
}

/// Returns whether a workspace has a key that a request can carry.
bool CheckKeys(const schema::Workspace& workspace, const Reporter& reporter) {
  std::set<std::string> keys;
  bool usable = false;
  for (std::size_t index = 0; index < workspace.api_keys.size(); ++index) {
    const std::string& key = workspace.api_keys[index];
    const std::string path = ItemPath("api_keys", index);
    reporter.ReportIf(!keys.insert(key).second, path, "is listed twice");
    reporter.ReportIf(!CanBeSent(key), path, "no request can carry this key");
    usable = usable || CanBeSent(key);
  }
  return usable;
}

void CheckWorkspaces(const schema::Fleet& fleet, core::Findings& warnings) {
  std::set<core::WorkspaceId> ids;
  bool usable = false;
  for (std::size_t index = 0; index < fleet.workspaces.size(); ++index) {
    const schema::Workspace& workspace = fleet.workspaces[index];
    // Represents a list that is present and empty.
    if (workspace == schema::Workspace()) continue;
    const Reporter reporter(ItemPath("workspaces", index), warnings);
    reporter.ReportIf(!ids.insert(workspace.id).second, "id",
                      "another workspace has the same id");
    const bool has_key = CheckKeys(workspace, reporter);
    reporter.ReportIf(!has_key, "api_keys",
                      "none of its callers has a valid key");
    usable = usable || has_key;
  }
  Reporter("", warnings)
      .ReportIf(!fleet.workspaces.empty() && !usable, "workspaces",
                "nobody has a valid key: only open routes are served");
}

void CheckLimits(const schema::CallerLimits& limits, core::Findings& warnings) {
  const Reporter reporter("limits", warnings);
  const core::Duration none = core::Duration::zero();
  reporter.ReportIf(limits.max_body_bytes > 0 &&
                        limits.max_header_bytes > limits.max_body_bytes,
                    "max_header_bytes",
                    "exceeds the largest body, " +
                        std::to_string(limits.max_body_bytes) + " bytes");
  reporter.ReportIf(limits.header_timeout < none, "header_timeout",
                    "is negative and has no effect");
  reporter.ReportIf(limits.idle_timeout < none, "idle_timeout",
                    "is negative and has no effect");
  reporter.ReportIf(
      limits.idle_timeout > none && limits.header_timeout > limits.idle_timeout,
      "header_timeout",
      "exceeds the idle timeout, " + FormatMs(limits.idle_timeout));
}

}  // namespace internal

core::Findings FindWarnings(const schema::Fleet& fleet) {
  core::Findings warnings;
  internal::CheckRoutes(fleet, warnings);
  internal::CheckServices(fleet, warnings);
  internal::CheckWorkspaces(fleet, warnings);
  internal::CheckLimits(fleet.limits, warnings);
  return warnings;
}

core::Findings FindSuccessionWarnings(const schema::Fleet& in_force,
                                      const schema::Fleet& fleet) {
  if (fleet.version > in_force.version) return {};
  return {{"", 0, "version",
           "version " + std::to_string(in_force.version) +
               " is in force: this one is acknowledged and changes nothing"}};
}

}  // namespace foxquay::fleet
