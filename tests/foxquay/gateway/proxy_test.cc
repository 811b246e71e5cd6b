#include "foxquay/gateway/proxy.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace foxquay::gateway {
namespace {

constexpr std::chrono::seconds kTimeout{10};

/// An upstream whose answers the test gives.
struct FakeUpstream {
  explicit FakeUpstream(boost::asio::io_context& context)
      : server(context, {[this](net::ExchangeId id, net::Request&& request) {
                           requests.emplace_back(id, std::move(request));
                         },
                         [this](net::ExchangeId) { ++gone; }}) {
    REQUIRE_FALSE(server.Listen("127.0.0.1:0"));
  }

  std::vector<std::pair<net::ExchangeId, net::Request>> requests;
  int gone = 0;
  net::Server server;
};

/// A caller's view of one request.
struct Seen {
  unsigned status = 0;
  net::Fields fields;
  std::string body;
  bool ended = false;
  std::optional<net::Failure> failure;
};

/// Speaks with plain headers: Name, Key, Expected and Not-Run.
Protocol MakeProtocol() {
  Protocol protocol;
  protocol.id_field = "Name";
  protocol.read_caller = [](const net::Request& request) {
    CallerInfo caller;
    caller.id = request.fields["Name"].to_string();
    caller.key = request.fields["Key"].to_string();
    return caller;
  };
  protocol.write_forwarding = [](net::Fields& fields,
                                 const ForwardingInfo& forwarding) {
    fields.erase("Key");
    fields.set("Workspace", forwarding.workspace.value());
    fields.set("Expected", forwarding.hops.front().upstream.value());
    if (forwarding.resume_after) {
      fields.set("After", std::to_string(*forwarding.resume_after));
    }
  };
  protocol.read_response = [](unsigned, const net::Fields& fields) {
    return ResponseInfo{fields.find("Not-Run") != fields.end(), ""};
  };
  return protocol;
}

schema::Route MakeRoute(const std::string& prefix, schema::RequestKind kind) {
  schema::Route route;
  route.host = "h";
  route.path_prefix = prefix;
  route.kind = kind;
  route.resumable = kind == schema::RequestKind::kStream;
  route.max_attempts = 2;
  route.timeout = std::chrono::seconds(5);
  route.target_latency = std::chrono::milliseconds(300);
  route.services.push_back({core::ServiceId("app"), 1});
  return route;
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// Two upstreams behind a proxy, and a caller, on one thread.
struct World {
  World() {
    schema::Fleet fleet;
    fleet.version = 3;
    fleet.services.push_back({core::ServiceId("app"), 10, std::nullopt});
    fleet.routes = {MakeRoute("/once/", schema::RequestKind::kAtMostOnce),
                    MakeRoute("/safe/", schema::RequestKind::kRepeatable),
                    MakeRoute("/stream/", schema::RequestKind::kStream)};
    fleet.workspaces.push_back(
        {core::WorkspaceId("w"), {"secret"}, std::nullopt});
    REQUIRE_FALSE(proxy.Listen("127.0.0.1:0"));
    proxy.SetFleet(std::make_shared<const fleet::Table>(fleet));
    proxy.SetAdmission(net::LeaseNow() + std::chrono::hours(1));
    proxy.SetHosts(1);
    proxy.SetUpstreams({Announce("a", a), Announce("b", b)});
  }

  static schema::Announcement Announce(const std::string& id,
                                       const FakeUpstream& upstream) {
    schema::Announcement announcement;
    announcement.id = core::UpstreamId(id);
    announcement.address = upstream.server.address();
    announcement.kind = "service";
    announcement.service = core::ServiceId("app");
    announcement.slots = 4;
    return announcement;
  }

  net::CallId Send(const std::string& target,
                   const std::string& key = "secret") {
    net::Request request;
    request.method = "POST";
    request.target = target;
    request.fields.set("Host", "h");
    request.fields.set("Name", "r1");
    request.fields.set("Key", key);
    request.body = "payload";
    return caller.Call(proxy.address(), net::Serialize(request),
                       {false, "", ""});
  }

  /// Runs until a condition holds.
  void Until(const std::function<bool()>& done) {
    const auto end = net::SteadyNow() + kTimeout;
    while (!done() && net::SteadyNow() < end) {
      context.run_one_for(std::chrono::milliseconds(5));
      proxy.Review();
    }
    REQUIRE(done());
  }

  const Seen& Finish(net::CallId call) {
    Until([&] { return seen[call].ended || seen[call].failure; });
    return seen[call];
  }

  /// Returns the upstream that has an unanswered request first.
  FakeUpstream& Reached() {
    Until([this] { return !a.requests.empty() || !b.requests.empty(); });
    return a.requests.empty() ? b : a;
  }

  FakeUpstream& Other(const FakeUpstream& upstream) {
    return &upstream == &a ? b : a;
  }

  boost::asio::io_context context;
  FakeUpstream a{context};
  FakeUpstream b{context};
  metrics::Registry registry;
  Proxy proxy{context,
              MakeProtocol(),
              {0.2, 200, std::chrono::seconds(10)},
              registry,
              1,
              [](const std::vector<core::UpstreamId>&) {}};
  std::map<net::CallId, Seen> seen;
  net::Client caller{
      context,
      {[this](net::CallId id, unsigned status, net::Fields&& fields) {
         seen[id].status = status;
         seen[id].fields = std::move(fields);
       },
       [this](net::CallId id, const std::string& data) {
         seen[id].body += data;
       },
       [this](net::CallId id) { seen[id].ended = true; },
       [this](net::CallId id, net::Failure failure) {
         seen[id].failure = failure;
       }}};
};

net::Response Stream() {
  return net::MakeResponse(200, "text/event-stream", "");
}

}  // namespace

TEST_CASE(
    "a request reaches an upstream without its key and comes back whole") {
  World world;
  const net::CallId call = world.Send("/once/1?q=2");
  FakeUpstream& upstream = world.Reached();
  const net::Request& request = upstream.requests[0].second;
  CHECK(request.target == "/once/1?q=2");
  CHECK(request.body == "payload");
  CHECK(request.fields.find("Key") == request.fields.end());
  CHECK(request.fields["Workspace"] == "w");
  net::Response answer = net::MakeResponse(201, "text/plain", "done");
  answer.fields.set("Stamp", "s");
  upstream.server.Respond(upstream.requests[0].first, answer);
  const Seen& seen = world.Finish(call);
  CHECK(seen.status == 201);
  CHECK(seen.body == "done");
  CHECK(seen.fields["Stamp"] == "s");
}

TEST_CASE("unknown routes and keys and an ended lease are refused") {
  World world;
  CHECK(world.Finish(world.Send("/none/")).status == 404);
  CHECK(world.Finish(world.Send("/once/1", "wrong")).status == 401);
  world.proxy.SetAdmission(net::LeaseNow() - std::chrono::seconds(1));
  const Seen& seen = world.Finish(world.Send("/once/1"));
  CHECK(seen.status == 503);
  CHECK(seen.fields.find("Retry-After") != seen.fields.end());
  CHECK(world.a.requests.empty());
  CHECK(world.b.requests.empty());
}

TEST_CASE("what may run once is not sent again when its connection ends") {
  World world;
  const net::CallId call = world.Send("/once/1");
  FakeUpstream& upstream = world.Reached();
  upstream.server.Abort(upstream.requests[0].first);
  CHECK(world.Finish(call).status == 502);
  CHECK(world.Other(upstream).requests.empty());
}

TEST_CASE("a repeatable request goes to the other upstream") {
  World world;
  const net::CallId call = world.Send("/safe/1");
  FakeUpstream& upstream = world.Reached();
  FakeUpstream& other = world.Other(upstream);
  upstream.server.Abort(upstream.requests[0].first);
  world.Until([&] { return !other.requests.empty(); });
  other.server.Respond(other.requests[0].first,
                       net::MakeResponse(200, "text/plain", "ok"));
  CHECK(world.Finish(call).body == "ok");
}

TEST_CASE("a stream that breaks inside an event goes on in the same answer") {
  World world;
  const net::CallId call = world.Send("/stream/1");
  FakeUpstream& upstream = world.Reached();
  FakeUpstream& other = world.Other(upstream);
  const net::ExchangeId first = upstream.requests[0].first;
  upstream.server.Start(first, Stream());
  upstream.server.Send(first, Event(1) + Event(2) + "id: 3\nda");
  world.Until([&] { return world.seen[call].body == Event(1) + Event(2); });
  upstream.server.Abort(first);
  world.Until([&] { return !other.requests.empty(); });
  CHECK(other.requests[0].second.fields["After"] == "2");
  const net::ExchangeId second = other.requests[0].first;
  other.server.Start(second, Stream());
  other.server.Send(second, Event(3) + Event(4));
  other.server.End(second);
  const Seen& seen = world.Finish(call);
  CHECK(seen.ended);
  CHECK(seen.body == Event(1) + Event(2) + Event(3) + Event(4));
}

TEST_CASE("a stream that cannot go on does not look complete") {
  World world;
  const net::CallId call = world.Send("/stream/1");
  FakeUpstream& upstream = world.Reached();
  const net::ExchangeId first = upstream.requests[0].first;
  upstream.server.Start(first, Stream());
  upstream.server.Send(first, Event(1));
  world.Until([&] { return world.seen[call].body == Event(1); });
  world.proxy.SetUpstreams({});
  upstream.server.Abort(first);
  CHECK(world.Finish(call).failure == net::Failure::kCut);
}

// Work for a caller that has left wastes an upstream's place.
TEST_CASE("an upstream is told when the caller leaves") {
  World world;
  const net::CallId call = world.Send("/once/1");
  FakeUpstream& upstream = world.Reached();
  world.caller.Cancel(call);
  world.Until([&] { return upstream.gone == 1; });
  CHECK(world.proxy.relay().size() == 0);
}

TEST_CASE("a host that stops takes no request and says where to turn") {
  World world;
  const net::CallId call = world.Send("/safe/1");
  FakeUpstream& upstream = world.Reached();
  world.proxy.StartDrain();
  CHECK_FALSE(world.proxy.ready());
  upstream.server.Respond(upstream.requests[0].first,
                          net::MakeResponse(200, "text/plain", "ok"));
  const Seen& seen = world.Finish(call);
  CHECK(seen.body == "ok");
  CHECK(seen.fields["Connection"] == "close");
  CHECK(world.proxy.open_requests() == 0);
}

// After a restart of all hosts callers return before the configuration is
// confirmed, and have no retry left.
TEST_CASE("a request waits a little for the configuration after a restart") {
  World world;
  world.proxy.SetAdmission(std::nullopt);
  const net::CallId call = world.Send("/safe/1");
  world.Until([&] { return world.proxy.open_requests() == 1; });
  CHECK(world.a.requests.empty());
  CHECK(world.b.requests.empty());
  world.proxy.SetAdmission(net::LeaseNow() + std::chrono::hours(1));
  FakeUpstream& upstream = world.Reached();
  upstream.server.Respond(upstream.requests[0].first,
                          net::MakeResponse(200, "text/plain", "ok"));
  CHECK(world.Finish(call).body == "ok");
}

}  // namespace foxquay::gateway
