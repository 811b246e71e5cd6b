#include "platform/soak/users.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "foxquay/net/clock.h"
#include "platform/json.h"
#include "platform/soak/after.h"
#include "platform/soak/site.h"
#include "platform/soak/worker.h"

namespace foxquay::platform::soak {
namespace {

constexpr std::chrono::milliseconds kSweep(500);
constexpr std::chrono::milliseconds kSendInterval(20);
/// Time that callers wait for a whole answer.
constexpr std::chrono::milliseconds kPatience(6000);
/// Pause before a change is sent again, and the time for an answer.
constexpr std::chrono::milliseconds kResend(300);

Json Service(const char* name) {
  return {{"name", name},
          {"health_path", "/health"},
          {"max_connections", 500},
          {"protocol", "h1"},
          {"tls", false}};
}

Json Model() {
  Json service = Service("model");
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
      {"layers", kLayers},
      {"layer_mb", 1000.0},
      {"activation_bytes", 1000},
      {"pipe_mbps", 10000.0},
      {"kinds",
       {{{"name", "card"},
         {"size_mb", 1000.0 * kMaxLayers + 900},
         {"pace", 1.0},
         {"read_factor", 1.0}}}}};
  return service;
}

Json Route(const std::string& name, const char* kind, const char* service) {
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

Caller::Caller(boost::asio::io_context& context)
    : context_(context),
      client_(context,
              {[this](net::CallId call, unsigned status, net::Fields&& fields) {
                 open_[call].status = status;
                 open_[call].fields = std::move(fields);
               },
               [this](net::CallId call, std::string&& data) {
                 open_[call].body += data;
               },
               [this](net::CallId call) { End(call, true); },
               [this](net::CallId call, net::Failure) { End(call, false); }}) {
  Sweep();
}

void Caller::Sweep() {
  client_.Sweep(net::SteadyNow());
  After(context_, kSweep, [this] { Sweep(); });
}

void Caller::Send(const std::string& address, const net::Request& request,
                  Done done) {
  const net::CallId call =
      client_.Call(address, net::Serialize(request), {true, "", ""});
  open_[call].done = std::move(done);
  After(context_, kPatience, [this, call] {
    if (!open_.contains(call)) return;
    client_.Cancel(call);
    End(call, false);
  });
}

void Caller::End(net::CallId call, bool whole) {
  auto node = open_.extract(call);
  if (node.empty()) return;
  Open& open = node.mapped();
  open.done(whole ? open.status : 0, open.fields, open.body);
}

Operator::Operator(boost::asio::io_context& context, Ledger& ledger,
                   std::vector<std::string> controls, std::uint64_t seed)
    : context_(context),
      ledger_(ledger),
      caller_(context),
      controls_(std::move(controls)),
      random_(seed) {}

std::string Operator::Write(std::uint64_t version) const {
  Json routes =
      Json::array({Route("read", "safe", "app"), Route("book", "unsafe", "app"),
                   Route("stream", "streaming", "model")});
  for (std::uint64_t extra = 0; extra < version % 5; ++extra) {
    routes.push_back(Route("extra" + std::to_string(extra), "safe", "app"));
  }
  return Json{
      {"version", version},
      {"routes", routes},
      {"services", Json::array({Service("app"), Model()})},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1048576},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       Json::array({{{"name", "w"},
                     {"api_keys", Json::array({kFixedKey, written_key_})},
                     {"priority", 1}}})}}
      .dump();
}

void Operator::Change() {
  version_ += 1 + random_() % 3;
  sent_[version_] = Write(version_);
  Put(version_, "");
}

void Operator::Revoke() {
  const std::string revoked =
      std::exchange(written_key_, "key-" + std::to_string(++next_key_));
  version_ += 1;
  sent_[version_] = Write(version_);
  Put(version_, revoked);
}

void Operator::HandleAcknowledged(std::uint64_t version,
                                  const std::string& revoked) {
  const core::Instant now = net::SteadyNow();
  acknowledged_ = std::max(acknowledged_, version);
  bounds_[now + kConfigApply] = acknowledged_;
  if (!revoked.empty()) ledger_.NoteRevoked(revoked, now + kRevocation);
  if (revoked == key_) {
    old_key_ = std::exchange(key_, kFixedKey);
  }
  After(context_, kConfigApply, [this, key = written_key_] { key_ = key; });
}

void Operator::Put(std::uint64_t version, const std::string& revoked) {
  // What a higher version has overtaken need not be sent any more.
  if (version < acknowledged_) return;
  net::Request request;
  request.method = "PUT";
  request.target = "/v1/config";
  request.fields.set("Host", "control");
  request.body = sent_.at(version);
  const std::string& control = controls_[random_() % controls_.size()];
  caller_.Send(control, request,
               [this, version, revoked](unsigned status, const net::Fields&,
                                        const std::string& body) {
                 if (status / 100 == 4) {
                   ledger_.Report("a valid configuration is accepted", body);
                 } else if (status != 200) {
                   After(context_, kResend,
                         [this, version, revoked] { Put(version, revoked); });
                 } else {
                   HandleAcknowledged(version, revoked);
                 }
               });
}

void Operator::Read(std::size_t control) {
  net::Request request;
  request.method = "GET";
  request.target = "/v1/config";
  request.fields.set("Host", "control");
  const auto bound = bounds_.upper_bound(net::SteadyNow());
  const std::uint64_t oldest =
      bound == bounds_.begin() ? 0 : std::prev(bound)->second;
  caller_.Send(
      controls_[control % controls_.size()], request,
      [this, oldest](unsigned status, const net::Fields&,
                     const std::string& body) {
        if (status != 200) return;
        const auto read = ParseJson(body);
        const std::uint64_t version =
            read ? read->value("version", std::uint64_t{0}) : 0;
        if (version < oldest) {
          ledger_.Report(
              "no replaced configuration is read",
              std::to_string(version) + " after " + std::to_string(oldest));
        }
        const auto found = sent_.find(version);
        if (found == sent_.end() || *ParseJson(found->second) != *read) {
          ledger_.Report("a configuration is read as it was sent", body);
        }
        read_back_ = std::max(read_back_, version);
      });
}

Crowd::Crowd(boost::asio::io_context& context, Ledger& ledger, Operator& owner,
             std::vector<std::string> entries, std::uint64_t seed)
    : context_(context),
      ledger_(ledger),
      operator_(owner),
      caller_(context),
      entries_(std::move(entries)),
      random_(seed) {}

void Crowd::Send(unsigned run) {
  if (run != run_) return;
  After(context_, kSendInterval, [this, run] { Send(run); });
  static constexpr const char* kNames[] = {"read", "book", "stream"};
  const auto kind = static_cast<Kind>(random_() % kKinds);
  const std::string id = "r" + std::to_string(next_++);
  Ledger::Entry entry;
  entry.kind = kind;
  entry.target = "/" + std::string(kNames[static_cast<int>(kind)]) +
                 "/x?id=" + id + "&y=%2f";
  if (kind != Kind::kRead) {
    entry.body = "body of " + id + std::string(random_() % 3000, 'b');
  }
  entry.workspace = "w";
  const std::uint64_t roll = random_() % 10;
  entry.key = kFixedKey;
  if (roll < 4) entry.key = operator_.key();
  if (roll == 0) entry.key = operator_.old_key();
  entry.sent = net::SteadyNow();
  net::Request request;
  request.method = kind == Kind::kRead ? "GET" : "POST";
  request.target = entry.target;
  request.body = entry.body;
  request.fields.set("Host", "soak.example");
  request.fields.set("X-Request-Id", id);
  request.fields.set("X-Deadline", std::to_string(kPatience.count()));
  request.fields.set("Authorization", "Bearer " + entry.key);
  request.fields.set("X-Tenant", "another");
  if (kind == Kind::kStream) {
    request.fields.set("X-Model", "m");
    request.fields.set("X-Token-Count", "100,24");
  }
  ledger_.NoteSent(id, std::move(entry));
  caller_.Send(entries_[random_() % entries_.size()], request,
               [this, id](unsigned status, const net::Fields& fields,
                          const std::string& body) {
                 if (status == 0) return;
                 ledger_.NoteAnswer(id, status, body,
                                    fields.count("X-Response-Stamp") != 0);
               });
}

}  // namespace foxquay::platform::soak
