#include "foxquay/schema/codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "foxquay/fleet/table.h"
#include "foxquay/fleet/validate.h"
#include "platform/fleet.h"
#include "platform/json.h"
#include "platform/protocol.h"
#include "platform/upstreams.h"

namespace foxquay::platform {
namespace {

constexpr const char* kHeartbeat =
    R"({"service":"llm","address":"10.0.0.9:80","zone":"east","version":"v2",
        "slots":64,"state":"ready","cold_left_ms":0,"kind":"large","born":1700000000000,
        "models":[{"name":"m","version":3,"adapters":[]}],
        "layers":{"from":20,"to":31,"version":3},"seq":4})";

constexpr const char* kFleet =
    R"({"version":7,
        "routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"streaming",
          "timeout_ms":20000,"target_latency_ms":500,"priority":1,
          "backends":[{"service":"llm","weight":90},{"service":"app","weight":10}],
          "max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":200},
         {"name":"s","host":"h","path_prefix":"/q/","kind":"unsafe","timeout_ms":800,
          "service":"app","max_attempts":1}],
        "services":[{"name":"llm","health_path":"/h","max_connections":99,
          "engine":{"slots":64,"kv_token_bytes":426000,"step_ms":0.85,"layers":80,
            "layer_mb":1750.0,"models":[{"name":"m","load_s":14.0}],
            "usual":{"prompt":772,"answer":150},
            "kinds":[{"name":"large","size_mb":36000.0,"pace":3.1,"read_factor":3.2}]}},
         {"name":"app"}],
        "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},
        "tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}]})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

core::Findings FindingsOf(const std::string& heartbeat) {
  core::Findings findings;
  (void)ReadHeartbeat("u", heartbeat, findings);
  return findings;
}

}  // namespace

TEST_CASE("a heartbeat is read into an announcement") {
  core::Findings findings;
  const schema::Announcement read = ReadHeartbeat("u", kHeartbeat, findings);
  REQUIRE(findings.empty());
  CHECK(read.id.value() == "u");
  CHECK(read.service.value() == "llm");
  CHECK(read.data_centre.value() == "east");
  CHECK(read.kind == "model");
  CHECK(read.accelerator == "large");
  CHECK(read.layers == schema::LayerRange{20, 30});
  CHECK(read.weights == 3);
  CHECK_FALSE(read.unplaced);
  CHECK_FALSE(read.leaving);
}

// Guards against a configuration that admits every key, also invented ones,
// once the last one has been revoked.
TEST_CASE("an empty list of tenants leaves no valid key") {
  const std::string tenants =
      R"("tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}])";
  const auto read = [&tenants](const std::string& list) {
    core::Findings findings;
    schema::Fleet fleet = ReadFleet(Replace(kFleet, tenants, list), findings);
    REQUIRE(findings.empty());
    REQUIRE(fleet::Validate(fleet).empty());
    // As the hosts get it.
    auto sent = schema::Decode<schema::Fleet>(schema::Encode(fleet));
    REQUIRE(sent);
    return fleet::Table(std::move(sent).value());
  };
  const fleet::Table revoked = read(R"("tenants":[])");
  CHECK(revoked.NeedsKey());
  for (const char* key : {"k1", "invented", ""}) {
    CHECK(revoked.FindWorkspace(key) == nullptr);
  }
  const fleet::Table keyless =
      read(R"("tenants":[{"name":"w","api_keys":[]}])");
  CHECK(keyless.NeedsKey());
  CHECK(keyless.FindWorkspace("k1") == nullptr);
  // Without the member, requests need no key.
  CHECK_FALSE(read(R"("unused":1)").NeedsKey());
}

// Guards against a fleet that is left open, or without routes, by a list that
// cannot be read.
TEST_CASE("a list that is missing or of another type is refused") {
  const std::string tenants =
      R"("tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}])";
  const auto accepted = [](const std::string& fleet) {
    core::Findings findings;
    const schema::Fleet read = ReadFleet(fleet, findings);
    return findings.empty() && fleet::Validate(read).empty();
  };
  REQUIRE(accepted(kFleet));
  for (const char* list : {"null", "{}", "\"\"", "0", "false", "[null]", "[[]]",
                           R"([{"name":"w"}])", R"([{"api_keys":[]}])"}) {
    CAPTURE(list);
    CHECK_FALSE(accepted(
        Replace(kFleet, tenants, R"("tenants":)" + std::string(list))));
  }
  for (const char* keys : {"null", "\"k\"", "{}", "[null]", "[1]", "[[]]"}) {
    CAPTURE(keys);
    CHECK_FALSE(accepted(Replace(kFleet, R"(["k1","k2"])", std::string(keys))));
  }
  for (const char* fleet :
       {R"({"version":7,"services":[]})", R"({"version":7,"routes":[]})",
        R"({"version":7,"routes":null,"services":[]})",
        R"({"version":7,"routes":[],"services":{}})"}) {
    CAPTURE(fleet);
    CHECK_FALSE(accepted(fleet));
  }
  CHECK(accepted(R"({"version":7,"routes":[],"services":[]})"));
}

TEST_CASE("an upstream without layers or that drains is recognized") {
  core::Findings findings;
  const std::string empty =
      Replace(kHeartbeat, R"({"from":20,"to":31,"version":3})", "[]");
  CHECK(ReadHeartbeat("u", empty, findings).unplaced);
  const std::string leaving = Replace(kHeartbeat, "ready", "draining");
  CHECK(ReadHeartbeat("u", leaving, findings).leaving);
  CHECK(findings.empty());
}

// An upstream counts its heartbeats from 0 after a restart; its announcements
// must not appear older than those before.
TEST_CASE("a heartbeat after a restart has a larger sequence than before") {
  core::Findings findings;
  const auto sequence = [&](const std::string& body) {
    return ReadHeartbeat("u", body, findings).sequence;
  };
  const std::string late = Replace(kHeartbeat, "\"seq\":4", "\"seq\":9999999");
  const std::string restarted =
      Replace(Replace(kHeartbeat, "1700000000000", "1700000000100"),
              "\"seq\":4", "\"seq\":0");
  CHECK(sequence(kHeartbeat) < sequence(late));
  CHECK(sequence(late) < sequence(restarted));
}

TEST_CASE("a malformed heartbeat has findings") {
  CHECK_FALSE(FindingsOf("{\"service\":").empty());
  CHECK_FALSE(FindingsOf("[]").empty());
  CHECK_FALSE(FindingsOf("null").empty());
  CHECK_FALSE(FindingsOf(Replace(kHeartbeat, "ready", "asleep")).empty());
  CHECK_FALSE(
      FindingsOf(Replace(kHeartbeat, "\"seq\":4", "\"seq\":-4")).empty());
  CHECK_FALSE(
      FindingsOf(Replace(kHeartbeat, "\"seq\":4", "\"seq\":\"4\"")).empty());
  CHECK_FALSE(FindingsOf(Replace(kHeartbeat, "1700000000000", "1.5")).empty());
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "cold_left_ms", "born", "seq"}) {
    const std::string quoted = std::string("\"") + field + "\"";
    CHECK_FALSE(FindingsOf(Replace(kHeartbeat, quoted, "\"other\"")).empty());
    Json wrong = Json::parse(kHeartbeat);
    wrong[field] = Json::array();
    CHECK_FALSE(FindingsOf(wrong.dump()).empty());
  }
}

// review/6: a web server was used as an upstream, as the members of its
// heartbeat that are not used were not read.
TEST_CASE("a member of another type shows a heartbeat of another writer") {
  const auto with = [](const char* name, const char* value) {
    Json heartbeat = Json::parse(kHeartbeat);
    heartbeat[name] = Json::parse(value);
    return heartbeat.dump();
  };
  for (const char* odd : {"7", "null", "true", "[\"v1\"]", "{}"}) {
    CAPTURE(odd);
    CHECK_FALSE(FindingsOf(with("version", odd)).empty());
  }
  for (const char* odd :
       {"\"unknown\"", "null", "false", "[0]", "-5", "1e300"}) {
    CAPTURE(odd);
    CHECK_FALSE(FindingsOf(with("cold_left_ms", odd)).empty());
  }
  for (const char* odd : {"\"1700000000000\"", "null", "1.5e12", "-1", "[]"}) {
    CAPTURE(odd);
    CHECK_FALSE(FindingsOf(with("born", odd)).empty());
  }
  for (const char* odd : {"1", "[]", "{}", "true"}) {
    CAPTURE(odd);
    CHECK_FALSE(FindingsOf(with("stage", odd)).empty());
    CHECK_FALSE(FindingsOf(with("kind", odd)).empty());
  }
  for (const char* odd : {"\"m\"", "{}", "3", "[\"m\"]", "[{\"name\":3}]",
                          R"([{"name":"m","version":1},{"version":"2"}])"}) {
    CAPTURE(odd);
    CHECK_FALSE(FindingsOf(with("models", odd)).empty());
  }
  // As sound upstreams of plain services and of models state them.
  CHECK(FindingsOf(kHeartbeat).empty());
  CHECK(FindingsOf(with("cold_left_ms", "812.5")).empty());
  CHECK(FindingsOf(with("stage", "\"both\"")).empty());
  CHECK(FindingsOf(with("note", "[{}]")).empty());
  Json plain = Json::parse(kHeartbeat);
  for (const char* name : {"kind", "models", "layers"}) plain.erase(name);
  CHECK(FindingsOf(plain.dump()).empty());
  core::Findings findings;
  CHECK(ReadHeartbeat("u", plain.dump(), findings).kind == "service");
}

// Guards against entries of another writer that outrank what the upstream says,
// or that end the processes that read them.
TEST_CASE("a heartbeat with a number out of range has findings") {
  for (const char* number : {"18446744073709551615", "4294967296", "1e300"}) {
    CAPTURE(number);
    for (const char* field : {"\"from\":20", "\"to\":31", "\"seq\":4"}) {
      const std::string name =
          std::string(field).substr(0, std::string(field).find(':') + 1);
      CHECK_FALSE(
          FindingsOf(Replace(kHeartbeat, field, name + number)).empty());
    }
    Json slots = Json::parse(kHeartbeat);
    slots["slots"] = Json::parse(number);
    CHECK_FALSE(FindingsOf(slots.dump()).empty());
  }
  CHECK_FALSE(
      FindingsOf(Replace(kHeartbeat, "1700000000000", "9007199254740993"))
          .empty());
  // The largest count of heartbeats sorts before the next start.
  core::Findings findings;
  const auto sequence = [&](const std::string& body) {
    return ReadHeartbeat("u", body, findings).sequence;
  };
  const std::string last =
      Replace(kHeartbeat, "\"seq\":4", "\"seq\":134217727");
  CHECK(sequence(last) <
        sequence(Replace(kHeartbeat, "1700000000000", "1700000000128")));
  CHECK(findings.empty());
}

TEST_CASE("documents nested too deeply are malformed") {
  for (const std::size_t depth : {65U, 10'000U, 500'000U}) {
    CAPTURE(depth);
    const std::string lists = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(FindingsOf(lists).empty());
    Json entry = Json::parse(kHeartbeat);
    entry["layers"] = "LAYERS";
    CHECK_FALSE(FindingsOf(Replace(entry.dump(), "\"LAYERS\"", lists)).empty());
    CHECK_FALSE(ReadReport(lists));
    CHECK_FALSE(ReadReport(std::string(depth, '[')));
    core::Findings findings;
    (void)ReadFleet(lists, findings);
    CHECK_FALSE(findings.empty());
    std::string objects;
    for (std::size_t level = 0; level < depth; ++level) objects += "{\"a\":";
    CHECK_FALSE(ReadReport(objects));
  }
  // Brackets in strings are no nesting.
  Json entry = Json::parse(kHeartbeat);
  entry["note"] = std::string(1000, '[') + "\"" + std::string(1000, '{');
  CHECK(FindingsOf(entry.dump()).empty());
}

TEST_CASE("a configuration with a number out of range has findings") {
  for (const auto& [from, to] :
       {std::pair("\"timeout_ms\":20000", "\"timeout_ms\":1e300"),
        std::pair("\"timeout_ms\":20000", "\"timeout_ms\":1e15"),
        std::pair("\"max_attempts\":2", "\"max_attempts\":4294967296"),
        std::pair("\"load_s\":14", "\"load_s\":1e12")}) {
    CAPTURE(to);
    const std::string odd = Replace(kFleet, from, to);
    REQUIRE(odd != kFleet);
    core::Findings findings;
    (void)ReadFleet(odd, findings);
    CHECK_FALSE(findings.empty());
  }
}

TEST_CASE("a configuration is read into routes, services and workspaces") {
  core::Findings findings;
  const schema::Fleet fleet = ReadFleet(kFleet, findings);
  REQUIRE(findings.empty());
  CHECK(fleet.version == 7);
  REQUIRE(fleet.routes.size() == 2);
  CHECK(fleet.routes[0].kind == schema::RequestKind::kStream);
  CHECK(fleet.routes[0].services.size() == 2);
  CHECK(fleet.routes[0].target_gap == std::chrono::milliseconds(200));
  CHECK(fleet.routes[1].kind == schema::RequestKind::kAtMostOnce);
  CHECK(fleet.routes[1].services[0].service.value() == "app");
  REQUIRE(fleet.services[0].engine);
  CHECK(fleet.services[0].engine->load == std::chrono::seconds(14));
  CHECK(fleet.services[0].engine->accelerators[0].memory_mb == 36000);
  CHECK_FALSE(fleet.services[1].engine);
  CHECK(fleet.workspaces[0].api_keys.size() == 2);
}

TEST_CASE("a truncated or malformed configuration has findings") {
  const std::string whole = kFleet;
  for (std::size_t size = 0; size < whole.size(); size += 7) {
    core::Findings findings;
    (void)ReadFleet(whole.substr(0, size), findings);
    CHECK_FALSE(findings.empty());
  }
  for (const char* bad :
       {R"({"version":"7","routes":[],"services":[]})",
        R"({"routes":[],"services":[]})", R"({"version":7,"services":[]})",
        R"({"version":7,"routes":[{}],"services":[]})",
        R"({"version":7,"routes":[1],"services":[]})"}) {
    core::Findings findings;
    (void)ReadFleet(bad, findings);
    CHECK_FALSE(findings.empty());
  }
}

TEST_CASE("forwarding replaces the key by the workspace and adds the path") {
  const gateway::Protocol protocol = MakeProtocol();
  net::Request request;
  request.fields.set("Authorization", "Bearer k1");
  request.fields.set("X-Tenant", "forged");
  request.fields.set("X-Token-Count", "1460,80");
  request.fields.set("X-Deadline", "20000");
  request.fields.set("Last-Event-Id", "12");
  const gateway::CallerInfo caller = protocol.read_caller(request);
  CHECK(caller.key == "k1");
  CHECK(caller.timeout == std::chrono::milliseconds(20000));
  CHECK(caller.work.prompt_tokens == 1460);
  CHECK(caller.work.answer_tokens == 80);
  CHECK(caller.resume_after == 12U);
  gateway::ForwardingInfo forwarding;
  forwarding.remaining = std::chrono::milliseconds(1500);
  forwarding.workspace = core::WorkspaceId("w");
  forwarding.hops = {{core::UpstreamId("u1"), "10.0.0.9:80", {0, 20}},
                     {core::UpstreamId("u2"), "10.0.0.3:80", {20, 80}}};
  forwarding.resume_after = 14;
  forwarding.priority = 2;
  request.fields.set("X-Request-Priority", "0");
  protocol.write_forwarding(request.fields, forwarding);
  CHECK(request.fields["X-Request-Priority"] == "2");
  CHECK(request.fields.find("Authorization") == request.fields.end());
  CHECK(request.fields["X-Tenant"] == "w");
  CHECK(request.fields["X-Deadline"] == "1500");
  CHECK(request.fields["X-Expect-Instance"] == "u1");
  CHECK(request.fields["X-Hop-Count"] == "10.0.0.9:80=0-20,10.0.0.3:80=20-80");
  CHECK(request.fields["Last-Event-Id"] == "14");
  forwarding.priority = 4'000'000'000;
  protocol.write_forwarding(request.fields, forwarding);
  CHECK(request.fields["X-Request-Priority"] == "9");
  forwarding.workspace = core::WorkspaceId();
  forwarding.hops = {{core::UpstreamId("u1"), "10.0.0.9:80", {}}};
  request.fields.set("X-Tenant", "forged");
  protocol.write_forwarding(request.fields, forwarding);
  CHECK(request.fields.find("X-Tenant") == request.fields.end());
  CHECK(request.fields.find("X-Request-Priority") == request.fields.end());
}

TEST_CASE("only an explicit statement means that a request has not run") {
  const gateway::Protocol protocol = MakeProtocol();
  net::Fields fields;
  CHECK_FALSE(protocol.read_response(503, fields).not_run);
  CHECK(protocol.read_response(421, fields).not_run);
  fields.set("X-Not-Executed", "1");
  fields.set("At-Server", "10.0.0.3:80");
  CHECK(protocol.read_response(503, fields).not_run);
  CHECK(protocol.read_response(503, fields).fault_address == "10.0.0.3:80");
}

// review/9: the signature was not known to the program.
TEST_CASE("a signature is a stamp that is not empty") {
  const gateway::Protocol protocol = MakeProtocol();
  net::Fields fields;
  CHECK_FALSE(protocol.read_response(200, fields).is_signed);
  fields.set("X-Response-Stamp", "");
  CHECK_FALSE(protocol.read_response(200, fields).is_signed);
  fields.set("x-response-stamp", "3e1b.07");
  CHECK(protocol.read_response(200, fields).is_signed);
  CHECK_FALSE(protocol.read_response(200, fields).is_encoded);
  fields.set("Content-Encoding", "identity");
  CHECK(protocol.read_response(200, fields).is_encoded);
}

TEST_CASE("what an upstream asks for is read from its answers") {
  const gateway::Protocol protocol = MakeProtocol();
  net::Fields fields;
  CHECK_FALSE(protocol.read_response(200, fields).leaving);
  fields.set("Server-Leaving", "1");
  CHECK(protocol.read_response(200, fields).leaving);
  CHECK(protocol.read_response(503, fields).leaving);
  fields.set("Retry-After", "1.5");
  CHECK(protocol.read_response(503, fields).hold_off ==
        core::Duration(std::chrono::milliseconds(1500)));
  CHECK_FALSE(protocol.read_response(500, fields).hold_off);
  for (const char* malformed : {"", "-1", "0", "soon", "nan"}) {
    fields.set("Retry-After", malformed);
    CHECK_FALSE(protocol.read_response(503, fields).hold_off);
  }
}

TEST_CASE("a caller's timeout of any size is a time in the future") {
  net::Request request;
  request.fields.set("X-Deadline", "18446744073709551615");
  CHECK(MakeProtocol().read_caller(request).timeout >
        core::Duration(std::chrono::hours(1)));
}

TEST_CASE("the parts of a prompt are read in order") {
  const gateway::Protocol protocol = MakeProtocol();
  net::Request request;
  CHECK(protocol.read_caller(request).prompt_parts.empty());
  request.fields.set("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e44:,,:9");
  const std::vector<core::PromptPartId> expected{core::PromptPartId("5c1e07a2"),
                                                 core::PromptPartId("91bd3f06"),
                                                 core::PromptPartId("e44")};
  CHECK(protocol.read_caller(request).prompt_parts == expected);
}

TEST_CASE("orders carry the fence and the expected number of orders") {
  const net::Request request =
      WriteOrder({core::UpstreamId("u"), "10.0.0.9:80", {20, 31}, 5, 2});
  const auto body = ParseJson(request.body);
  REQUIRE(body);
  CHECK(body->at("op") == "place");
  CHECK(body->at("from") == 20);
  CHECK(body->at("to") == 31);
  CHECK(body->at("fence") == 5);
  CHECK(body->at("expected") == 2);
  CHECK(ReadOrderStatus(202) == placement::OrderOutcome::kAccepted);
  CHECK(ReadOrderStatus(409) == placement::OrderOutcome::kMismatch);
  CHECK(ReadOrderStatus(412) == placement::OrderOutcome::kFenced);
  CHECK(ReadOrderStatus(500) == placement::OrderOutcome::kUnanswered);
}

TEST_CASE("a malformed report is not read") {
  CHECK_FALSE(ReadReport("{"));
  CHECK_FALSE(ReadReport(R"({"seq":"2"})"));
  const auto report =
      ReadReport(R"({"seq":2,"busy":true,"layers":[{"from":3,"to":9}]})");
  REQUIRE(report);
  CHECK(report->orders == 2);
  CHECK(report->busy);
  CHECK(report->layers == placement::Range{3, 9});
}

TEST_CASE("control calls are distinguished by method and target") {
  const gateway::ControlProtocol protocol = MakeControlProtocol();
  const auto read = [&](const char* method, const char* target,
                        const std::string& body = "") {
    net::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    return protocol.read(request);
  };
  CHECK(std::holds_alternative<gateway::Announce>(
      read("PUT", "/v1/instances/u", kHeartbeat)));
  CHECK(std::holds_alternative<gateway::InvalidCall>(
      read("PUT", "/v1/instances/u", "{}")));
  CHECK(std::holds_alternative<gateway::Withdraw>(
      read("DELETE", "/v1/instances/u")));
  CHECK(std::holds_alternative<gateway::ReplaceFleet>(
      read("PUT", "/v1/config", kFleet)));
  CHECK(std::holds_alternative<gateway::ReadFleet>(read("GET", "/v1/config")));
  const auto entries = read("GET", "/v1/resolve?name=h&region=r&zone=east");
  REQUIRE(std::holds_alternative<gateway::FindEntries>(entries));
  CHECK(std::get<gateway::FindEntries>(entries).data_centre.value() == "east");
  CHECK(std::get<gateway::InvalidCall>(read("GET", "/v1/nothing")).status ==
        404);
  const net::Response answer =
      protocol.write_entries({"10.0.0.1:80"}, std::chrono::seconds(2));
  CHECK(ParseJson(answer.body)->at("ttl_s") == 2);
}

// A value that is no rate must neither stop all requests nor lift a limit.
TEST_CASE("the lowest valid limit of an answer is read") {
  const gateway::Protocol protocol = MakeProtocol();
  const auto read = [&protocol](const std::vector<std::string>& values) {
    net::Fields fields;
    for (const std::string& value : values) {
      fields.insert("Server-Limit", value);
    }
    return protocol.read_response(200, fields);
  };
  CHECK_FALSE(read({}).limit);
  CHECK(read({"2.5"}).limit == 2.5);
  CHECK(read({"0"}).limit == 0.0);
  CHECK(read({"7", "3"}).limit == 3.0);
  CHECK(read({"nan", "3"}).limit == 3.0);
  CHECK(read({"1e300"}).limit <= 1e6);
  for (const char* invalid : {"-1", "nan", "inf", "", "x", "3x", "3, 4"}) {
    CAPTURE(invalid);
    CHECK_FALSE(read({invalid}).limit);
    CHECK(read({invalid}).invalid_limit);
  }
}

}  // namespace foxquay::platform
