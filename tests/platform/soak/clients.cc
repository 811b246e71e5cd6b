#include "platform/soak/clients.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "foxquay/net/clock.h"
#include "platform/json.h"
#include "platform/soak/after.h"
#include "platform/soak/cluster.h"
#include "platform/soak/fake_upstream.h"

namespace foxquay::platform::soak {
namespace {

constexpr std::chrono::milliseconds kSweepInterval(500);
constexpr std::chrono::milliseconds kSendInterval(20);
/// Time that callers wait for a complete answer.
constexpr std::chrono::milliseconds kAnswerTimeout(6000);
/// Pause before an unacknowledged configuration is sent again.
constexpr std::chrono::milliseconds kResendDelay(300);

Json MakeService(const char* name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_connections", 500},
          {"protocol", "h1"},
          {"tls", false}};
}

Json ModelService() {
  Json service = MakeService("model");
  service["engine"] = {
      {"slots", 64},
      {"kv_capacity_tokens", 100000},
      {"kv_token_bytes", 8000},
      {"link_mbps", 10000.0},
      {"stride", 1},
      {"models",
       {{{"name", "m"}, {"pace", 1.0}, {"load_s", 1.0}, {"warm_s", 0.0}}}},
      {"step_ms", 1.0},
      {"per_seq_ms", 0.01},
      {"context_per_k", 0.01},
      {"read_per_s", 100000.0},
      {"pairs_per_m", 0.1},
      {"chunk", 512},
      {"report_lag_ms", 100.0},
      {"loads_per_s", 0.0},
      {"loads_at_once", 4},
      {"delays", Json::array()},
      {"usual", {{"prompt", 100}, {"answer", 24}}},
      {"layers", kModelLayers},
      {"layer_mb", 1000.0},
      {"activation_bytes", 1000},
      {"pipe_mbps", 10000.0},
      {"kinds",
       {{{"name", "card"},
         {"size_mb", 1000.0 * kMaxHeldLayers + 900},
         {"pace", 1.0},
         {"read_factor", 1.0}}}}};
  return service;
}

Json MakeRoute(const std::string& name, const char* kind, const char* service) {
  return {{"name", name},
          {"host", "soak.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", 5000},
          {"target_latency_ms", 500},
          {"priority", 1},
          {"service", service},
          {"max_attempts", 2},
          {"public", false},
          {"sticky", false},
          {"resumable", service == std::string("model")},
          {"target_gap_ms", 250}};
}

}  // namespace

BufferingClient::BufferingClient(boost::asio::io_context& context)
    : context_(context),
      client_(
          context,
          {[this](net::CallId call, unsigned status, net::Fields&& fields) {
             pending_[call].status = status;
             pending_[call].fields = std::move(fields);
           },
           [this](net::CallId call, std::string&& data) {
             pending_[call].body += data;
           },
           [this](net::CallId call) { Finish(call, true); },
           [this](net::CallId call, net::Failure) { Finish(call, false); }}) {
  SweepPeriodically();
}

void BufferingClient::SweepPeriodically() {
  client_.Sweep(net::SteadyNow());
  After(context_, kSweepInterval, [this] { SweepPeriodically(); });
}

void BufferingClient::Send(const std::string& address,
                           const net::Request& request, Callback callback) {
  const net::CallId call =
      client_.Call(address, net::Serialize(request), {true, "", ""});
  pending_[call].callback = std::move(callback);
  After(context_, kAnswerTimeout, [this, call] {
    if (!pending_.contains(call)) return;
    client_.Cancel(call);
    Finish(call, false);
  });
}

void BufferingClient::Finish(net::CallId call, bool complete) {
  auto node = pending_.extract(call);
  if (node.empty()) return;
  PendingCall& pending = node.mapped();
  pending.callback(complete ? pending.status : 0, pending.fields, pending.body);
}

Operator::Operator(boost::asio::io_context& context, InvariantChecker& checker,
                   std::vector<std::string> control_addresses,
                   std::uint64_t seed)
    : context_(context),
      checker_(checker),
      client_(context),
      control_addresses_(std::move(control_addresses)),
      random_(seed) {}

std::string Operator::BuildConfiguration(std::uint64_t version) const {
  Json routes = Json::array({MakeRoute("read", "safe", "app"),
                             MakeRoute("book", "unsafe", "app"),
                             MakeRoute("stream", "streaming", "model")});
  for (std::uint64_t extra = 0; extra < version % 5; ++extra) {
    routes.push_back(MakeRoute("extra" + std::to_string(extra), "safe", "app"));
  }
  Json tenants = Json::array();
  if (!keyless_) {
    tenants.push_back(
        {{"name", "w"},
         {"api_keys", Json::array({kPermanentKey, configured_key_})},
         {"priority", 1}});
  }
  return Json{{"version", version},
              {"routes", routes},
              {"services", Json::array({MakeService("app"), ModelService()})},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 1048576},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"tenants", tenants}}
      .dump();
}

void Operator::ReplaceConfiguration() {
  version_ += 1 + random_() % 3;
  sent_versions_[version_] = BuildConfiguration(version_);
  PutConfiguration(version_, "");
}

void Operator::RevokeKey() {
  const std::string revoked =
      std::exchange(configured_key_, "key-" + std::to_string(++key_number_));
  version_ += 1;
  sent_versions_[version_] = BuildConfiguration(version_);
  PutConfiguration(version_, revoked);
}

void Operator::RevokeAllKeys() {
  keyless_ = true;
  version_ += 1;
  sent_versions_[version_] = BuildConfiguration(version_);
  PutConfiguration(version_, configured_key_);
}

void Operator::HandleAcknowledged(std::uint64_t version,
                                  const std::string& revoked) {
  const core::Instant now = net::SteadyNow();
  acknowledged_ = std::max(acknowledged_, version);
  oldest_readable_[now + kConfigApplyBound] = acknowledged_;
  if (!revoked.empty()) checker_.RecordRevoked(revoked, now + kRevocationBound);
  if (revoked == key_) {
    revoked_key_ = std::exchange(key_, kPermanentKey);
  }
  After(context_, kConfigApplyBound,
        [this, key = configured_key_] { key_ = key; });
}

void Operator::PutConfiguration(std::uint64_t version,
                                const std::string& revoked) {
  // A version below an acknowledged one is obsolete.
  if (version < acknowledged_) return;
  net::Request request;
  request.method = "PUT";
  request.target = "/v1/config";
  request.fields.set("Host", "control");
  request.body = sent_versions_.at(version);
  const std::string& control =
      control_addresses_[random_() % control_addresses_.size()];
  client_.Send(control, request,
               [this, version, revoked](unsigned status, const net::Fields&,
                                        const std::string& body) {
                 if (status / 100 == 4) {
                   checker_.ReportViolation("a valid configuration is accepted",
                                            body);
                 } else if (status != 200) {
                   After(context_, kResendDelay, [this, version, revoked] {
                     PutConfiguration(version, revoked);
                   });
                 } else {
                   HandleAcknowledged(version, revoked);
                 }
               });
}

void Operator::PutDocument(const std::string& document, std::size_t control,
                           BufferingClient::Callback callback) {
  net::Request request;
  request.method = "PUT";
  request.target = "/v1/config";
  request.fields.set("Host", "control");
  request.body = document;
  client_.Send(control_addresses_[control % control_addresses_.size()], request,
               std::move(callback));
}

void Operator::ReadConfiguration(std::size_t control) {
  net::Request request;
  request.method = "GET";
  request.target = "/v1/config";
  request.fields.set("Host", "control");
  const auto bound = oldest_readable_.upper_bound(net::SteadyNow());
  const std::uint64_t oldest =
      bound == oldest_readable_.begin() ? 0 : std::prev(bound)->second;
  client_.Send(
      control_addresses_[control % control_addresses_.size()], request,
      [this, oldest](unsigned status, const net::Fields&,
                     const std::string& body) {
        if (status != 200) return;
        const auto read = ParseJson(body);
        const std::uint64_t version =
            read ? read->value("version", std::uint64_t{0}) : 0;
        if (version < oldest) {
          checker_.ReportViolation(
              "no read returns a configuration replaced earlier than the bound",
              std::to_string(version) + " after " + std::to_string(oldest));
        }
        const auto found = sent_versions_.find(version);
        if (found == sent_versions_.end() ||
            *ParseJson(found->second) != *read) {
          checker_.ReportViolation(
              "a configuration is read back as it was sent", body);
        }
        read_back_ = std::max(read_back_, version);
      });
}

LoadGenerator::LoadGenerator(boost::asio::io_context& context,
                             InvariantChecker& checker,
                             Operator& config_operator,
                             std::vector<std::string> entry_addresses,
                             std::uint64_t seed)
    : context_(context),
      checker_(checker),
      operator_(config_operator),
      client_(context),
      entry_addresses_(std::move(entry_addresses)),
      random_(seed) {}

void LoadGenerator::SendNext(unsigned generation) {
  if (generation != generation_) return;
  After(context_, kSendInterval, [this, generation] { SendNext(generation); });
  static constexpr const char* kNames[] = {"read", "book", "stream"};
  const auto kind = static_cast<RequestKind>(random_() % kRequestKinds);
  const std::string id = "r" + std::to_string(next_id_++);
  InvariantChecker::RequestRecord record;
  record.kind = kind;
  record.target = "/" + std::string(kNames[static_cast<int>(kind)]) +
                  "/x?id=" + id + "&y=%2f";
  if (kind != RequestKind::kRead) {
    record.body = "body of " + id + std::string(random_() % 3000, 'b');
  }
  record.workspace = "w";
  const std::uint64_t roll = random_() % 10;
  record.key = kPermanentKey;
  if (roll < 4) record.key = operator_.key();
  if (roll == 0) record.key = operator_.revoked_key();
  record.sent_at = net::SteadyNow();
  net::Request request;
  request.method = kind == RequestKind::kRead ? "GET" : "POST";
  request.target = record.target;
  request.body = record.body;
  request.fields.set("Host", "soak.example");
  request.fields.set("X-Request-Id", id);
  request.fields.set("X-Deadline", std::to_string(kAnswerTimeout.count()));
  request.fields.set("Authorization", "Bearer " + record.key);
  request.fields.set("X-Tenant", "another");
  if (kind == RequestKind::kStream) {
    request.fields.set("X-Model", "m");
    request.fields.set("X-Token-Count", "100,24");
  }
  checker_.RecordSent(id, std::move(record));
  client_.Send(entry_addresses_[random_() % entry_addresses_.size()], request,
               [this, id](unsigned status, const net::Fields& fields,
                          const std::string& body) {
                 if (status == 0) return;
                 checker_.RecordAnswer(id, status, body,
                                       fields.count("X-Response-Stamp") != 0);
               });
}

}  // namespace foxquay::platform::soak
