#include "foxquay/control/claims.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace foxquay::control {
namespace {

using schema::ClaimStatus;

const schema::ClaimOwner kOwner{core::HostId("a"), 1, 1};
const schema::ClaimOwner kOther{core::HostId("b"), 1, 1};
const core::WorkspaceId kWorkspace("w");

ClaimTable::Context At(int seconds) {
  return {core::WallTime(std::chrono::seconds(seconds)), true,
          std::chrono::seconds(100)};
}

ClaimStatus Claim(ClaimTable& table, const schema::ClaimOwner& owner,
                  const std::string& key, int at = 1000,
                  const std::string& digest = "d") {
  return table.Apply(schema::Claim{owner, kWorkspace, key, digest}, At(at))
      .status;
}

ClaimStatus Release(ClaimTable& table, const schema::ClaimOwner& owner) {
  return table
      .Apply(schema::ReleaseClaim{owner, kWorkspace, "1050.k"}, At(1000))
      .status;
}

}  // namespace

// Guards against keys whose expiry cannot be parsed or is too late. The table
// could drop the claim of such a key before the key expires.
TEST_CASE("a key must contain an expiry within bounds") {
  ClaimTable table;
  for (const char* key : {"", ".", "1050", "1050.", ".k", "x.k", "-1.k",
                          "+1050.k", "1050 .k", "99999999999.k"}) {
    CHECK(Claim(table, kOwner, key) == ClaimStatus::kMalformed);
  }
  CHECK(Claim(table, kOwner, "1000.k") == ClaimStatus::kExpired);
  CHECK(Claim(table, kOwner, "1101.k") == ClaimStatus::kTooLong);
  CHECK(Claim(table, kOwner, "1100.k") == ClaimStatus::kGranted);
  table.DropExpired(core::WallTime(std::chrono::seconds(1100)));
  CHECK(table.size() == 0);
  CHECK(Claim(table, kOwner, "1100.k", 1100) == ClaimStatus::kExpired);
}

// Guards against a key that returns the response of a different request.
TEST_CASE("a key is bound to the digest of its request") {
  ClaimTable table;
  CHECK(Claim(table, kOwner, "1050.k") == ClaimStatus::kGranted);
  CHECK(Claim(table, kOther, "1050.k", 1000, "e") == ClaimStatus::kMismatch);
  CHECK(Claim(table, kOther, "1050.k") == ClaimStatus::kRunning);
}

// Guards against a delayed copy of a claim that occupies a key although no
// attempt will use it.
TEST_CASE("a released attempt is never granted again") {
  ClaimTable table;
  SECTION("released after its claim") {
    CHECK(Claim(table, kOwner, "1050.k") == ClaimStatus::kGranted);
  }
  SECTION("released before its claim") {}
  CHECK(Release(table, kOwner) == ClaimStatus::kReleased);
  CHECK(Claim(table, kOwner, "1050.k") == ClaimStatus::kReleased);
  CHECK(Claim(table, kOther, "1050.k") == ClaimStatus::kGranted);
  CHECK(Release(table, kOwner) == ClaimStatus::kNotOwner);
}

// Guards against dropping the response of a partitioned host whose incarnation
// was ended.
TEST_CASE("the owner may complete a claim whose outcome became unknown") {
  ClaimTable table;
  CHECK(Claim(table, kOwner, "1050.k") == ClaimStatus::kGranted);
  table.EndIncarnation(kOwner.host, 1);
  CHECK(Release(table, kOwner) == ClaimStatus::kUnknown);
  CHECK(Claim(table, kOther, "1050.k") == ClaimStatus::kUnknown);
  schema::RecordClaim record{kOther, kWorkspace, "1050.k", true, 200, "b", "x"};
  CHECK(table.Apply(record, At(1000)).status == ClaimStatus::kNotOwner);
  record.owner = kOwner;
  CHECK(table.Apply(record, At(1000)).status == ClaimStatus::kComplete);
  record.complete = false;
  CHECK(table.Apply(record, At(1000)).status == ClaimStatus::kComplete);
  CHECK(Claim(table, kOther, "1050.k") == ClaimStatus::kComplete);
}

}  // namespace foxquay::control
