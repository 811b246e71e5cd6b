#include "foxquay/relay/chain_mix.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "foxquay/relay/relay.h"
#include "foxquay/relay/upstreams.h"

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

constexpr Work kWork{772, 150};

schema::Engine MakeEngine() {
  schema::Engine engine;
  engine.slots = 192;
  engine.layers = 80;
  engine.layer_mb = 1750;
  engine.token_memory_mb = 0.426;
  engine.step = std::chrono::microseconds(850);
  engine.per_sequence = std::chrono::nanoseconds(2760);
  engine.context_per_k = std::chrono::nanoseconds(3700);
  engine.stride = 2;
  engine.prefill_per_s = 272000;
  engine.usual_prompt = kWork.prompt_tokens;
  engine.usual_answer = kWork.answer_tokens;
  engine.pipe_mbps = 4700;
  engine.activation_bytes = 21300;
  engine.accelerators = {{"fast", 36000, 3.1, 3.2}, {"slow", 21600, 16, 8.2}};
  return engine;
}

schema::Service MakeService() {
  return {core::ServiceId("model"), 2000, MakeEngine()};
}

/// Returns upstreams that hold `copies` copies of the model in a data centre,
/// each in stages of ten layers.
std::vector<schema::Announcement> MakeCopies(int copies,
                                             const std::string& kind) {
  std::vector<schema::Announcement> upstreams;
  for (int copy = 0; copy < copies; ++copy) {
    for (std::uint32_t first = 0; first < 80; first += 10) {
      schema::Announcement upstream;
      const std::string name =
          kind + std::to_string(copy) + "-" + std::to_string(first);
      upstream.id = core::UpstreamId(name);
      upstream.address = name;
      upstream.data_centre = core::DataCentreId(std::to_string(copy));
      upstream.service = core::ServiceId("model");
      upstream.kind = "model";
      upstream.accelerator = kind;
      upstream.slots = 192;
      upstream.layers = {first, first + 9};
      upstreams.push_back(upstream);
    }
  }
  return upstreams;
}

/// Hosts that send requests to the same upstreams and know the total number of
/// open ones, as the control hosts report it.
class Hosts {
 public:
  Hosts(std::size_t count, const std::vector<schema::Announcement>& upstreams) {
    for (std::size_t index = 0; index < count; ++index) {
      hosts_.emplace_back(index + 1);
      hosts_.back().SetHosts(count);
      hosts_.back().Set(upstreams, core::Instant());
    }
  }

  /// Lets every host, or the first `most`, send one request and returns how
  /// many requests each first stage got.
  std::map<core::UpstreamId, int> SendOne(double open, core::Instant now,
                                          std::size_t most = SIZE_MAX) {
    std::map<core::UpstreamId, int> counts;
    for (std::size_t index = 0; index < std::min(most, hosts_.size());
         ++index) {
      Upstreams& host = hosts_[index];
      host.SetOpenRequests(open);
      NoPath reason{};
      const auto hops =
          host.ChoosePath(service_, kWork, FirstHops(), now, reason);
      REQUIRE(!hops.empty());
      host.Begin(hops, kWork, now);
      ++counts[hops.front().upstream];
    }
    return counts;
  }

 private:
  schema::Service service_ = MakeService();
  std::vector<Upstreams> hosts_;
};

int Largest(const std::map<core::UpstreamId, int>& counts) {
  int largest = 0;
  for (const auto& [id, count] : counts) largest = std::max(largest, count);
  return largest;
}

}  // namespace

// Guards against hosts that act on the same reports and all choose the chain
// that was the cheapest.
TEST_CASE("hundreds of hosts with one request each use all chains") {
  Hosts hosts(300, MakeCopies(5, "slow"));
  const auto counts = hosts.SendOne(300, core::Instant(milliseconds(1)));
  CHECK(counts.size() == 5);
  CHECK(Largest(counts) < 90);
}

// Guards against a crest that begins faster than hosts learn of it, whose
// requests all take the cheapest chain.
TEST_CASE(
    "requests that nobody knows of yet do not overflow the fastest chain") {
  auto upstreams = MakeCopies(4, "slow");
  for (schema::Announcement& fast : MakeCopies(1, "fast")) {
    fast.data_centre = core::DataCentreId("other");
    upstreams.push_back(fast);
  }
  for (const std::size_t count : {8, 111, 730}) {
    Hosts hosts(count, upstreams);
    // Half of what the five chains hold: 81 each on the slow ones, and 192.
    constexpr std::size_t kBurst = 250;
    std::map<core::UpstreamId, int> counts;
    for (std::size_t sent = 0; sent < kBurst; sent += count) {
      const auto added =
          hosts.SendOne(0, core::Instant(milliseconds(1)), kBurst - sent);
      for (const auto& [id, requests] : added) counts[id] += requests;
    }
    CAPTURE(count);
    CHECK(counts.size() == 5);
    CHECK(counts.at(core::UpstreamId("fast0-0")) <= 192);
    for (const auto& [id, requests] : counts) {
      if (id.value().starts_with("slow")) CHECK(requests <= 81);
    }
  }
}

TEST_CASE("a faster chain gets more requests, not all") {
  auto upstreams = MakeCopies(1, "slow");
  for (schema::Announcement& fast : MakeCopies(1, "fast")) {
    fast.data_centre = core::DataCentreId("other");
    upstreams.push_back(fast);
  }
  Hosts hosts(300, upstreams);
  const auto counts = hosts.SendOne(900, core::Instant(milliseconds(1)));
  CHECK(counts.at(core::UpstreamId("fast0-0")) >
        counts.at(core::UpstreamId("slow0-0")));
  CHECK(counts.at(core::UpstreamId("slow0-0")) > 0);
}

// A single host knows its load exactly and alternates.
TEST_CASE("a host on its own uses equal chains in turn") {
  Hosts hosts(1, MakeCopies(4, "slow"));
  std::map<core::UpstreamId, int> counts;
  for (int request = 0; request < 8; ++request) {
    for (const auto& [id, count] :
         hosts.SendOne(request, core::Instant(milliseconds(1)))) {
      counts[id] += count;
    }
  }
  CHECK(counts.size() == 4);
  CHECK(Largest(counts) == 2);
}

// Guards against the loss of one upstream that takes the sound ones of its
// chains out of use as well, while all their requests need a place.
TEST_CASE("a stream leaves a lost upstream without avoiding the sound ones") {
  schema::Fleet fleet;
  fleet.version = 1;
  fleet.services.push_back(MakeService());
  schema::Route route;
  route.path_prefix = "/";
  route.kind = schema::RequestKind::kStream;
  route.resumable = true;
  route.max_attempts = 2;
  route.services.push_back({core::ServiceId("model"), 1});
  fleet.routes.push_back(route);
  const auto table = std::make_shared<const fleet::Table>(fleet);
  auto upstreams = MakeCopies(2, "slow");
  // A second holder of the layers that each copy may lose.
  for (const std::size_t index : {3, 11}) {
    schema::Announcement spare = upstreams[index];
    spare.id = core::UpstreamId("spare" + std::to_string(index));
    spare.address = spare.id.value();
    upstreams.push_back(spare);
  }
  const core::Instant now(milliseconds(100));
  Relay relay({0.2, 200, std::chrono::seconds(10)}, 1);
  relay.SetHosts(1, now);
  relay.SetUpstreams(upstreams, now);
  // Three quarters of what both copies hold.
  relay.SetOpenRequests(120);
  const schema::Service& service = table->fleet().services.front();
  const double use = relay.upstreams().Use(service, now);
  RequestContext context;
  context.table = table;
  context.route = &table->fleet().routes.front();
  context.service = &table->fleet().services.front();
  context.work = kWork;
  context.arrived = now;
  context.deadline = now + std::chrono::seconds(20);
  const core::RequestId id(1);
  const Decision sent = relay.Arrive(id, context, now);
  REQUIRE(std::holds_alternative<Send>(sent));
  const core::UpstreamId lost = std::get<Send>(sent).hops[3].upstream;
  std::erase_if(upstreams, [&lost](const schema::Announcement& upstream) {
    return upstream.id == lost;
  });
  relay.SetUpstreams(upstreams, now);
  REQUIRE(relay.Move(id, now));
  CHECK(relay.upstreams().Use(service, now) < 1.2 * use);
}

TEST_CASE("a mix leaves out failed upstreams at once") {
  const schema::Service service = MakeService();
  Upstreams upstreams(7);
  upstreams.SetHosts(300);
  upstreams.Set(MakeCopies(2, "slow"), core::Instant());
  upstreams.SetOpenRequests(300);
  const core::Instant now(milliseconds(10));
  NoPath reason{};
  (void)upstreams.ChoosePath(service, kWork, FirstHops(), now, reason);
  const core::UpstreamId lost("slow0-40");
  upstreams.RecordFailure(lost, now);
  for (int request = 0; request < 50; ++request) {
    const auto hops =
        upstreams.ChoosePath(service, kWork, FirstHops(), now, reason);
    REQUIRE(hops.size() == 8);
    for (const Hop& hop : hops) CHECK(hop.upstream != lost);
  }
}

// Guards against a crest at which hosts fill the memory of the fastest chain,
// whose upstreams then preempt and turn away requests, while others have room.
TEST_CASE("a crest fills fast and slow chains evenly") {
  const schema::Engine engine = MakeEngine();
  auto upstreams = MakeCopies(6, "slow");
  for (schema::Announcement& fast : MakeCopies(2, "fast")) {
    fast.id = core::UpstreamId("other-" + fast.id.value());
    fast.data_centre = core::DataCentreId("other");
    upstreams.push_back(fast);
  }
  // Requests that one chain holds, by its memory.
  const StageCost slow(engine, engine.accelerators[1], {0, 10});
  double room = 0;
  while (slow.Fits(kWork, {room, room * kWork.MeanTokens()})) ++room;
  room = std::min(room, static_cast<double>(engine.slots));
  for (const std::size_t count : {8, 111, 730}) {
    Hosts hosts(count, upstreams);
    // Eight chains hold this many requests at four fifths of the room of the
    // slow ones.
    const auto crest = static_cast<std::size_t>(8 * 0.8 * room);
    std::map<core::UpstreamId, int> counts;
    for (std::size_t sent = 0; sent < crest; sent += count) {
      const auto added =
          hosts.SendOne(static_cast<double>(crest),
                        core::Instant(milliseconds(1)), crest - sent);
      for (const auto& [id, requests] : added) counts[id] += requests;
    }
    CAPTURE(count, room, crest);
    CHECK(counts.size() == 8);
    CHECK(Largest(counts) <= static_cast<int>(engine.slots));
    for (const auto& [id, requests] : counts) {
      if (id.value().starts_with("slow")) CHECK(requests <= room);
    }
  }
}

// Guards against chains that keep requests for longer than estimated and fill
// up, as hosts send as many to them as to the others.
TEST_CASE("chains that are slower than estimated do not overflow") {
  const schema::Service service = MakeService();
  const schema::Engine& engine = *service.engine;
  const StageCost stage(engine, engine.accelerators[1], {0, 10});
  int room = 0;
  while (stage.Fits(kWork, {1.0 * room, room * kWork.MeanTokens()})) ++room;
  // Three quarters of the room of four chains, two of which take three times
  // as long as the others.
  constexpr int kEvents = 50;
  const std::map<std::string, milliseconds> gaps = {
      {"slow0-0", milliseconds(40)},
      {"slow1-0", milliseconds(40)},
      {"slow2-0", milliseconds(120)},
      {"slow3-0", milliseconds(120)}};
  double per_second = 0;
  for (const auto& [name, gap] : gaps) {
    per_second += 0.75 * room / (kEvents * gap.count() / 1000.0);
  }
  struct Open {
    core::Instant end;
    std::size_t host;
    std::vector<Hop> hops;
  };
  std::vector<Upstreams> hosts;
  for (std::size_t index = 0; index < 60; ++index) {
    hosts.emplace_back(index + 1);
    hosts.back().SetHosts(60);
    hosts.back().Set(MakeCopies(4, "slow"), core::Instant());
  }
  std::vector<Open> open;
  std::map<std::string, int> counts;
  double due = 0;
  std::size_t next_host = 0;
  for (milliseconds at{0}; at < std::chrono::seconds(40);
       at += milliseconds(50)) {
    const core::Instant now(at);
    std::erase_if(open, [&](const Open& request) {
      if (request.end > now) return false;
      hosts[request.host].End(request.hops, kWork);
      --counts[request.hops.front().address];
      return true;
    });
    if (at.count() % 500 == 0) {
      for (Upstreams& host : hosts) {
        host.SetOpenRequests(static_cast<double>(open.size()));
      }
    }
    due += per_second * 0.05;
    while (due >= 1) {
      --due;
      const std::size_t index = next_host++ % hosts.size();
      NoPath reason{};
      const auto hops =
          hosts[index].ChoosePath(service, kWork, FirstHops(), now, reason);
      REQUIRE(!hops.empty());
      hosts[index].Begin(hops, kWork, now);
      const std::string& first = hops.front().address;
      const milliseconds gap = gaps.at(first);
      hosts[index].RecordLatency(hops.front().upstream, gap, now);
      open.push_back({now + gap * kEvents, index, hops});
      ++counts[first];
    }
    if (at < std::chrono::seconds(20)) continue;
    for (const auto& [name, count] : counts) {
      CAPTURE(at.count(), name, room);
      CHECK(count <= room);
    }
  }
}

TEST_CASE("the use of a stage is that of its scarcer resource") {
  const schema::Engine engine = MakeEngine();
  const StageCost first(engine, engine.accelerators[0], {0, 10});
  const StageCost later(engine, engine.accelerators[0], {10, 20});
  CHECK(first.Use(kWork, {}) == 0);
  const StageLoad full{191, 191 * kWork.MeanTokens()};
  CHECK(first.Use(kWork, full) >= 1);
  CHECK(later.Use(kWork, full) < first.Use(kWork, full));
  CHECK(first.PerLayer(kWork, full) > 2 * later.PerLayer(kWork, full));
}

// Guards against chains that cross between data centres, of which each holds a
// part of the layers, until prompts wait for the link.
TEST_CASE("chains that cross leave room on the link between data centres") {
  const schema::Engine engine = MakeEngine();
  const auto spread = [&engine](double pipe_mbps) {
    std::vector<MixStage> stages;
    for (int copy = 0; copy < 6; ++copy) {
      for (std::uint32_t first = 0; first < 80; first += 10) {
        MixStage stage(
            StageCost(engine, engine.accelerators[1], {first, first + 10}));
        stage.candidate.layers = {first, first + 10};
        stage.candidate.data_centre =
            core::DataCentreId(first < 40 ? "a" : "b");
        stages.push_back(stage);
      }
    }
    const double bits = 8 * engine.activation_bytes * 922;
    const auto time = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(bits / (pipe_mbps * 1e6)));
    return SpreadLoad(stages, 80, {time * 40, time}, kWork, 300);
  };
  // About 120 prompts a second take a tenth, or three times, of the link.
  CHECK(spread(200000).room > 1);
  const LoadSpread crowded = spread(6500);
  CHECK(crowded.room > 0);
  CHECK(crowded.room < 0.3);
}

TEST_CASE("the load that exceeds the memory of all stages is left out") {
  const schema::Engine engine = MakeEngine();
  std::vector<MixStage> stages;
  for (std::uint32_t first = 0; first < 80; first += 10) {
    MixStage stage(
        StageCost(engine, engine.accelerators[1], {first, first + 10}));
    stage.candidate.layers = {first, first + 10};
    stages.push_back(stage);
  }
  CHECK(SpreadLoad(stages, 80, {}, kWork, 40).chains.size() == kMixParts);
  const std::size_t placed =
      SpreadLoad(stages, 80, {}, kWork, 400).chains.size();
  CHECK(placed > 0);
  CHECK(placed < kMixParts);
}

}  // namespace foxquay::relay
