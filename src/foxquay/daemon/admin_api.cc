#include "foxquay/daemon/admin_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "foxquay/daemon/admin_json.h"
#include "foxquay/daemon/secret.h"

namespace foxquay::daemon {
namespace internal {

using Json = nlohmann::json;

/// Maximum time to wait until a change is committed.
constexpr core::Duration kCommitTimeout = std::chrono::seconds(5);

/// Maximum time to wait until this host has applied an accepted change.
constexpr core::Duration kApplyTimeout = std::chrono::seconds(1);

/// Maximum time to wait until a change is in force on every host. A
/// configuration lease lasts 2.5 s, after which an unreachable host no longer
/// holds one.
constexpr core::Duration kInForceTimeout = std::chrono::seconds(10);

http::Outgoing RenderJson(std::uint32_t status, const Json& body) {
  http::Outgoing outgoing;
  outgoing.status = status;
  outgoing.headers.emplace_back("Content-Type", "application/json");
  outgoing.body =
      body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return outgoing;
}

http::Outgoing RenderError(std::uint32_t status, const std::string& message) {
  return RenderJson(status, {{"error", message}});
}

http::Outgoing Reject(const core::Findings& findings) {
  Json list = Json::array();
  for (const core::Finding& finding : findings) {
    list.push_back({{"field", finding.path}, {"message", finding.message}});
  }
  return RenderJson(400, {{"status", "invalid"}, {"findings", list}});
}

std::uint32_t HttpStatus(schema::ChangeStatus status) {
  switch (status) {
    case schema::ChangeStatus::kAccepted:
      return 200;
    case schema::ChangeStatus::kConflict:
    case schema::ChangeStatus::kReused:
      return 409;
    case schema::ChangeStatus::kInvalid:
      return 422;
  }
  return 422;
}

Json HostNames(const std::vector<core::HostId>& hosts) {
  Json list = Json::array();
  for (const core::HostId& host : hosts) list.push_back(host.value());
  return list;
}

}  // namespace internal

AdminApi::AdminApi(ControlNode& control, metrics::Registry& metrics,
                   std::string token, std::function<void()> drain)
    : control_(control),
      metrics_(metrics),
      token_(std::move(token)),
      drain_(std::move(drain)) {}

http::Route AdminApi::Authenticated(std::string method, std::string pattern,
                                    Handler handler) {
  return {
      std::move(method), std::move(pattern),
      [this, handler](http::Incoming&& incoming) {
        const std::string given = incoming.Header("Authorization").value_or("");
        if (!SecretsEqual(given, "Bearer " + token_)) {
          return internal::RenderError(401,
                                       "expected the operator token in the "
                                       "header Authorization: Bearer TOKEN");
        }
        return (this->*handler)(incoming);
      }};
}

std::vector<http::Route> AdminApi::Routes() {
  return {
      {"GET", "/healthz",
       [](http::Incoming&&) {
         return internal::RenderJson(200, {{"ok", true}});
       }},
      {"GET", "/readyz", [this](http::Incoming&&) { return Ready(); }},
      {"GET", "/metrics",
       [this](http::Incoming&& incoming) { return Metrics(incoming); }},
      Authenticated("GET", "/admin/v1/status", &AdminApi::Status),
      Authenticated("GET", "/admin/v1/hosts", &AdminApi::HostList),
      Authenticated("GET", "/admin/v1/upstreams", &AdminApi::Upstreams),
      Authenticated("GET", "/admin/v1/defaults", &AdminApi::Defaults),
      Authenticated("GET", "/admin/v1/exceptions", &AdminApi::Exceptions),
      Authenticated("GET", "/admin/v1/history", &AdminApi::History),
      Authenticated("PUT", "/admin/v1/defaults/:key", &AdminApi::SetDefault),
      Authenticated("POST", "/admin/v1/exceptions", &AdminApi::AddException),
      Authenticated("DELETE", "/admin/v1/exceptions/:id",
                    &AdminApi::RemoveException),
      Authenticated("POST", "/admin/v1/rollback", &AdminApi::Rollback),
      Authenticated("POST", "/admin/v1/drain", &AdminApi::Drain),
  };
}

http::Outgoing AdminApi::Metrics(const http::Incoming& incoming) {
  http::Outgoing outgoing;
  outgoing.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
  const auto workspace = incoming.Parameter("workspace");
  outgoing.body = workspace ? metrics_.Expose(core::WorkspaceId(*workspace))
                            : metrics_.Expose();
  return outgoing;
}

http::Outgoing AdminApi::Ready() {
  const ControlStatus status = control_.Status();
  const bool draining =
      !status.hosts.empty() && status.hosts.front().report.draining;
  const bool ready = status.admitting && !draining;
  return internal::RenderJson(ready ? 200 : 503, {{"ready", ready}});
}

http::Outgoing AdminApi::Status(const http::Incoming&) {
  return internal::RenderJson(200, ToJson(control_.Status()));
}

http::Outgoing AdminApi::HostList(const http::Incoming&) {
  internal::Json list = internal::Json::array();
  for (const HostView& host : control_.Status().hosts) {
    list.push_back(ToJson(host));
  }
  return internal::RenderJson(200, {{"hosts", list}});
}

http::Outgoing AdminApi::Upstreams(const http::Incoming&) {
  internal::Json list = internal::Json::array();
  for (const schema::Announcement& upstream : control_.Status().upstreams) {
    list.push_back(ToJson(upstream));
  }
  return internal::RenderJson(200, {{"upstreams", list}});
}

http::Outgoing AdminApi::Defaults(const http::Incoming&) {
  return internal::RenderJson(200, DefaultsToJson(control_.Configuration()));
}

http::Outgoing AdminApi::Exceptions(const http::Incoming&) {
  return internal::RenderJson(200, ExceptionsToJson(control_.Configuration()));
}

http::Outgoing AdminApi::History(const http::Incoming&) {
  internal::Json list = internal::Json::array();
  for (const schema::ConfigEntry& entry : control_.History()) {
    list.push_back(ToJson(entry));
  }
  return internal::RenderJson(200, {{"history", list}});
}

http::Outgoing AdminApi::SetDefault(const http::Incoming& incoming) {
  FieldReader fields(incoming.body);
  schema::SetDefault change;
  change.header = fields.Header();
  change.key = incoming.Parameter("key").value_or("");
  change.value = fields.Number("value");
  if (!fields.findings().empty()) return internal::Reject(fields.findings());
  return Change(incoming, change);
}

http::Outgoing AdminApi::AddException(const http::Incoming& incoming) {
  FieldReader fields(incoming.body);
  schema::AddException change;
  change.header = fields.Header();
  change.key = fields.Text("key");
  change.scope = fields.Scope("scope");
  change.object = fields.Text("object");
  change.value = fields.Number("value");
  change.reason = fields.Text("reason");
  if (!fields.findings().empty()) return internal::Reject(fields.findings());
  return Change(incoming, change);
}

http::Outgoing AdminApi::RemoveException(const http::Incoming& incoming) {
  FieldReader fields(incoming.body);
  schema::RemoveException change;
  change.header = fields.Header();
  change.reason = fields.Text("reason");
  const std::string id = incoming.Parameter("id").value_or("");
  const auto parsed =
      std::from_chars(id.data(), id.data() + id.size(), change.exception);
  if (parsed.ec != std::errc() || parsed.ptr != id.data() + id.size()) {
    return internal::RenderError(
        400, "expected a whole number as the id of the exception");
  }
  if (!fields.findings().empty()) return internal::Reject(fields.findings());
  return Change(incoming, change);
}

http::Outgoing AdminApi::Rollback(const http::Incoming& incoming) {
  FieldReader fields(incoming.body);
  schema::Rollback change;
  change.header = fields.Header();
  change.revision = fields.Unsigned("revision");
  if (!fields.findings().empty()) return internal::Reject(fields.findings());
  return Change(incoming, change);
}

http::Outgoing AdminApi::Drain(const http::Incoming&) {
  drain_();
  return internal::RenderJson(202, {{"draining", true}});
}

http::Outgoing AdminApi::Change(const http::Incoming& incoming,
                                const schema::ControlCommand& command) {
  const auto committed = control_.Commit(command, internal::kCommitTimeout);
  if (!committed) {
    return internal::RenderError(
        503,
        "no quorum answered in time; the change may still "
        "be accepted: send it again with the same change_id "
        "to learn its result");
  }
  const auto* result = std::get_if<schema::ChangeResult>(&committed.value());
  if (result == nullptr) return internal::RenderError(500, "unexpected result");
  internal::Json body = ToJson(*result);
  // The operator's next command reads the configuration of this host, so the
  // change must be visible here before it is answered.
  control_.AwaitApplied(result->sequence, internal::kApplyTimeout);
  const bool wait = incoming.Parameter("wait").value_or("") == "in-force" &&
                    result->status == schema::ChangeStatus::kAccepted;
  if (wait) {
    const auto in_force =
        control_.AwaitInForce(result->sequence, internal::kInForceTimeout);
    body["in_force"] = in_force && in_force.value().in_force;
    if (in_force) {
      body["waiting_for"] = internal::HostNames(in_force.value().waiting);
      body["lease_expired"] = internal::HostNames(in_force.value().expired);
    }
  }
  return internal::RenderJson(internal::HttpStatus(result->status), body);
}

}  // namespace foxquay::daemon
