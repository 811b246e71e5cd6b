#include "foxquay/relay/upstreams.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace foxquay::relay {
namespace {

using std::chrono::milliseconds;

core::Instant At(int ms) { return core::Instant(milliseconds(ms)); }

schema::Announcement Announce(const std::string& id,
                              const std::string& service) {
  schema::Announcement announcement;
  announcement.id = core::UpstreamId(id);
  announcement.service = core::ServiceId(service);
  announcement.kind = "service";
  announcement.address = id;
  announcement.slots = 64;
  return announcement;
}

/// Time of an answer by upstream and time of the request.
using AnswerTime = std::function<int(const std::string& upstream, int at)>;

/// Sends a request to service `app` every `interval` ms between `from` and
/// `until`, one after the other, and returns how many each upstream got.
std::map<std::string, int> SendInTurn(Upstreams& upstreams, int from, int until,
                                      int interval,
                                      const AnswerTime& answer_time) {
  const schema::Service service{core::ServiceId("app"), 100, std::nullopt};
  std::map<std::string, int> counts;
  std::multimap<int, std::pair<std::vector<Hop>, int>> answers;
  for (int now = from; now < until; ++now) {
    while (!answers.empty() && answers.begin()->first <= now) {
      const auto [hops, sent] = answers.begin()->second;
      upstreams.RecordLatency(hops.front().upstream, milliseconds(now - sent),
                              At(now));
      upstreams.RecordSuccess(hops);
      upstreams.End(hops, {});
      answers.erase(answers.begin());
    }
    if ((now - from) % interval != 0) continue;
    NoPath reason = NoPath::kNoUpstream;
    const std::vector<Hop> hops =
        upstreams.ChoosePath(service, {}, {}, At(now), reason);
    REQUIRE_FALSE(hops.empty());
    upstreams.Begin(hops, {}, At(now));
    const std::string id = hops.front().upstream.value();
    ++counts[id];
    answers.emplace(now + answer_time(id, now), std::make_pair(hops, now));
  }
  for (const auto& [at, answer] : answers) upstreams.End(answer.first, {});
  return counts;
}

}  // namespace

// The mean latency of an upstream that got no requests never changed, so that
// one slow answer kept it without requests while the others were free.
TEST_CASE("an upstream that was slow once gets requests again") {
  Upstreams upstreams;
  upstreams.Set(
      {Announce("a", "app"), Announce("b", "app"), Announce("c", "app")},
      At(0));
  constexpr int kSlowUntil = 500;
  const AnswerTime answer_time = [](const std::string& upstream, int at) {
    return upstream == "b" && at < kSlowUntil ? 150 : 15;
  };
  SendInTurn(upstreams, 0, 10000, 25, answer_time);
  const auto counts = SendInTurn(upstreams, 10000, 30000, 25, answer_time);
  CHECK(counts.at("a") > 0);
  CHECK(counts.contains("b"));
  if (counts.contains("b")) CHECK(counts.at("b") >= 800 / 6);
  CHECK(counts.at("c") > 0);
}

// An upstream that stays slower than the others gets few requests.
TEST_CASE(
    "an upstream that stays slow gets few requests while others are free") {
  Upstreams upstreams;
  upstreams.Set(
      {Announce("a", "app"), Announce("b", "app"), Announce("c", "app")},
      At(0));
  const AnswerTime answer_time = [](const std::string& upstream, int) {
    return upstream == "b" ? 400 : 15;
  };
  SendInTurn(upstreams, 0, 10000, 25, answer_time);
  const auto counts = SendInTurn(upstreams, 10000, 30000, 25, answer_time);
  CHECK((counts.contains("b") ? counts.at("b") : 0) <= 800 / 50);
}

// The choice among equal upstreams depended on their number beside that of the
// other services' upstreams.
TEST_CASE("equal upstreams get equally many requests") {
  for (int others = 0; others < 5; ++others) {
    CAPTURE(others);
    Upstreams upstreams;
    std::vector<schema::Announcement> list = {
        Announce("a", "app"), Announce("b", "app"), Announce("c", "app")};
    for (int index = 0; index < others; ++index) {
      list.push_back(Announce("o" + std::to_string(index), "other"));
    }
    upstreams.Set(list, At(0));
    const auto counts = SendInTurn(upstreams, 0, 9000, 30,
                                   [](const std::string&, int) { return 10; });
    for (const char* id : {"a", "b", "c"}) {
      CAPTURE(id);
      CHECK((counts.contains(id) ? counts.at(id) : 0) == 100);
    }
  }
}

}  // namespace foxquay::relay
