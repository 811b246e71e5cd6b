#include "foxquay/relay/partners.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace foxquay::relay {
namespace {

core::Instant At(int ms) {
  return core::Instant(std::chrono::milliseconds(ms));
}

core::HostId Host(int number) {
  return core::HostId("h" + std::to_string(number));
}

std::vector<Partner> MakePartners(int first, int end) {
  std::vector<Partner> partners;
  for (int number = first; number < end; ++number) {
    partners.push_back(
        {Host(number), "10.0.0." + std::to_string(number) + ":1"});
  }
  return partners;
}

}  // namespace

TEST_CASE("a host passes requests to a few others, spread over the fleet") {
  constexpr int kFleet = 291;
  std::map<core::HostId, int> chosen_by;
  for (int self = 0; self < kFleet; ++self) {
    Partners partners(static_cast<std::uint64_t>(self));
    partners.Set(Host(self), MakePartners(0, kFleet));
    std::set<core::HostId> chosen;
    for (int count = 0; count < 100; ++count) {
      const auto partner = partners.Choose({}, At(0));
      REQUIRE(partner);
      CHECK(partner->host != Host(self));
      chosen.insert(partner->host);
    }
    CHECK(chosen.size() == kMaxPartners);
    for (const core::HostId& host : chosen) ++chosen_by[host];
  }
  for (const auto& [host, count] : chosen_by) CHECK(count <= 16);
}

TEST_CASE("others take the place of partners that are gone") {
  Partners partners(1);
  partners.Set(Host(0), MakePartners(0, 9));
  std::set<core::HostId> used;
  for (int count = 0; count < 8; ++count) {
    const auto partner = partners.Choose({}, At(0));
    REQUIRE(partner);
    CHECK(used.insert(partner->host).second);
    partners.RecordFailure(partner->host, At(0));
  }
  CHECK_FALSE(partners.Choose({}, At(0)));
  CHECK(partners.Choose({}, At(0) + kPartnerAvoidance));
  partners.Set(Host(0), {});
  CHECK_FALSE(partners.Choose({}, At(5000)));
}

TEST_CASE("a request does not return to a partner that it has tried") {
  Partners partners(1);
  partners.Set(Host(0), MakePartners(1, 3));
  for (int count = 0; count < 20; ++count) {
    CHECK(partners.Choose({Host(1)}, At(0))->host == Host(2));
  }
  CHECK_FALSE(partners.Choose({Host(1), Host(2)}, At(0)));
}

TEST_CASE("the partner with fewer requests is preferred") {
  Partners partners(1);
  partners.Set(Host(0), MakePartners(1, 3));
  for (int count = 0; count < 10; ++count) partners.Begin(Host(1));
  std::map<core::HostId, int> chosen;
  for (int count = 0; count < 100; ++count) {
    ++chosen[partners.Choose({}, At(0))->host];
  }
  CHECK(chosen[Host(2)] > 60);
  for (int count = 0; count < 10; ++count) partners.End(Host(1));
  chosen.clear();
  for (int count = 0; count < 100; ++count) {
    ++chosen[partners.Choose({}, At(0))->host];
  }
  CHECK(chosen[Host(1)] > 25);
}

}  // namespace foxquay::relay
