#include "foxquay/daemon/admin_json.h"

#include <array>
#include <utility>

#include "foxquay/schema/policy.h"

namespace foxquay::daemon {
namespace internal {

using Json = nlohmann::json;

constexpr std::array<std::pair<schema::ExceptionScope, const char*>, 5>
    kScopeNames{{{schema::ExceptionScope::kWorkspace, "workspace"},
                 {schema::ExceptionScope::kModel, "model"},
                 {schema::ExceptionScope::kUpstream, "upstream"},
                 {schema::ExceptionScope::kDataCentre, "data_centre"},
                 {schema::ExceptionScope::kHost, "host"}}};

std::string Name(schema::ChangeStatus status) {
  switch (status) {
    case schema::ChangeStatus::kAccepted:
      return "accepted";
    case schema::ChangeStatus::kConflict:
      return "conflict";
    case schema::ChangeStatus::kInvalid:
      return "invalid";
    case schema::ChangeStatus::kReused:
      return "change-id-reused";
  }
  return "invalid";
}

std::string Name(schema::ChangeKind kind) {
  switch (kind) {
    case schema::ChangeKind::kNone:
      return "host";
    case schema::ChangeKind::kSetDefault:
      return "set-default";
    case schema::ChangeKind::kAddException:
      return "add-exception";
    case schema::ChangeKind::kRemoveException:
      return "remove-exception";
    case schema::ChangeKind::kRollback:
      return "rollback";
  }
  return "host";
}

Json ToJson(const schema::ConfigException& exception) {
  return {{"id", exception.id},
          {"key", schema::kPolicySpecs.at(exception.key).name},
          {"scope", daemon::Name(exception.scope)},
          {"object", exception.object},
          {"value", exception.value},
          {"reason", exception.reason},
          {"author", exception.author},
          {"time_ms", exception.time.time_since_epoch().count()}};
}

}  // namespace internal

std::string Name(schema::ExceptionScope scope) {
  for (const auto& [candidate, name] : internal::kScopeNames) {
    if (candidate == scope) return name;
  }
  return "";
}

nlohmann::json ToJson(const HostView& host) {
  return {{"host", host.id.value()},
          {"caller", host.caller},
          {"data_centre", host.data_centre.value()},
          {"region", host.region.value()},
          {"control", host.control},
          {"alive", host.alive},
          {"incarnation", host.incarnation},
          {"admitting", host.report.admitting},
          {"draining", host.report.draining},
          {"free_percent", host.report.free_percent},
          {"open_requests", host.report.open_requests},
          {"revision", host.report.revision}};
}

nlohmann::json ToJson(const schema::Announcement& upstream) {
  return {{"upstream", upstream.id.value()},
          {"address", upstream.address},
          {"data_centre", upstream.data_centre.value()},
          {"kind", upstream.kind},
          {"model", upstream.model.value()},
          {"service", upstream.service.value()},
          {"accelerator", upstream.accelerator},
          {"first_layer", upstream.layers.first},
          {"last_layer", upstream.layers.last},
          {"slots", upstream.slots},
          {"load", upstream.load},
          {"checks_fencing", upstream.checks_fencing}};
}

nlohmann::json ToJson(const ControlStatus& status) {
  internal::Json hosts = internal::Json::array();
  for (const HostView& host : status.hosts) hosts.push_back(ToJson(host));
  internal::Json voters = internal::Json::array();
  for (const schema::ReplicaId& voter : status.voters) {
    voters.push_back(
        {{"host", voter.host.value()}, {"incarnation", voter.incarnation}});
  }
  return {{"host", status.host.value()},
          {"leader", status.leader.value()},
          {"term", status.term},
          {"commit", status.commit},
          {"voters", voters},
          {"changing_voters", status.changing_voters},
          {"replica", status.replica},
          {"revision", status.revision},
          {"admitting", status.admitting},
          {"hosts", hosts},
          {"upstreams", status.upstreams.size()},
          {"peer_messages_sent", status.links.sent_messages},
          {"peer_bytes_sent", status.links.sent_bytes},
          {"peer_messages_received", status.links.received_messages},
          {"peer_bytes_received", status.links.received_bytes},
          {"peer_messages_rejected", status.links.rejected},
          {"peer_messages_dropped", status.links.dropped}};
}

nlohmann::json ToJson(const schema::ConfigEntry& entry) {
  internal::Json defaults = internal::Json::array();
  for (const schema::DefaultValue& value : entry.defaults) {
    defaults.push_back({{"key", schema::kPolicySpecs.at(value.key).name},
                        {"value", value.value}});
  }
  internal::Json added = internal::Json::array();
  for (const schema::ConfigException& exception : entry.added) {
    added.push_back(internal::ToJson(exception));
  }
  return {{"revision", entry.revision},
          {"kind", internal::Name(entry.kind)},
          {"change_id", entry.change},
          {"author", entry.author},
          {"reason", entry.reason},
          {"time_ms", entry.time.time_since_epoch().count()},
          {"defaults", defaults},
          {"added", added},
          {"removed", entry.removed}};
}

nlohmann::json ToJson(const schema::ChangeResult& result) {
  internal::Json findings = internal::Json::array();
  for (const schema::ControlFinding& finding : result.findings) {
    findings.push_back({{"field", finding.path}, {"message", finding.message}});
  }
  return {{"status", internal::Name(result.status)},
          {"change_id", result.change},
          {"revision", result.revision},
          {"winner", result.winner},
          {"winner_author", result.winner_author},
          {"findings", findings}};
}

nlohmann::json DefaultsToJson(const control::Config& config) {
  internal::Json list = internal::Json::array();
  for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
    const auto index = static_cast<std::size_t>(spec.key);
    list.push_back({{"key", spec.name},
                    {"value", config.defaults().at(index)},
                    {"unit", spec.unit},
                    {"min", spec.min},
                    {"max", spec.max}});
  }
  return {{"revision", config.revision()}, {"defaults", list}};
}

nlohmann::json ExceptionsToJson(const control::Config& config) {
  internal::Json list = internal::Json::array();
  for (const auto& [id, exception] : config.exceptions()) {
    list.push_back(internal::ToJson(exception));
  }
  return {{"revision", config.revision()}, {"exceptions", list}};
}

FieldReader::FieldReader(const std::string& body)
    : body_(internal::Json::parse(body, nullptr, false)) {
  if (body_.is_object()) return;
  AddFinding("body", "expected a JSON object");
  body_ = internal::Json::object();
}

void FieldReader::AddFinding(const std::string& name, std::string message) {
  findings_.push_back({"", 0, name, std::move(message)});
}

std::string FieldReader::Text(const std::string& name) {
  const auto found = body_.find(name);
  if (found != body_.end() && found->is_string()) {
    return found->get<std::string>();
  }
  AddFinding(name, "expected a string");
  return "";
}

std::int64_t FieldReader::Number(const std::string& name) {
  const auto found = body_.find(name);
  if (found != body_.end() && found->is_number_integer()) {
    return found->get<std::int64_t>();
  }
  AddFinding(name, "expected a whole number");
  return 0;
}

std::uint64_t FieldReader::Unsigned(const std::string& name) {
  const auto found = body_.find(name);
  if (found != body_.end() && found->is_number_unsigned()) {
    return found->get<std::uint64_t>();
  }
  AddFinding(name, "expected a whole number of at least 0");
  return 0;
}

schema::ExceptionScope FieldReader::Scope(const std::string& name) {
  const std::string text = Text(name);
  for (const auto& [scope, candidate] : internal::kScopeNames) {
    if (text == candidate) return scope;
  }
  AddFinding(name, "expected workspace, model, upstream, data_centre or host");
  return schema::ExceptionScope::kWorkspace;
}

schema::ChangeHeader FieldReader::Header() {
  schema::ChangeHeader header;
  header.change = Text("change_id");
  header.expected_revision = Unsigned("expected_revision");
  header.author = Text("author");
  return header;
}

}  // namespace foxquay::daemon
