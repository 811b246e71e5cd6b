#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "foxquay/fleet/validate.h"
#include "foxquay/schema/sizes.h"
#include "platform/fleet.h"
#include "platform/json.h"
#include "platform/scenarios/scenario.h"

namespace foxquay::platform::scenarios {
namespace {

constexpr std::chrono::seconds kPatience{30};

/// Bound of the site files on the acknowledgement of a change.
constexpr std::chrono::seconds kAckBound{4};

/// Versions of large configurations; all have the same number of digits.
constexpr std::uint64_t kFirstVersion = 5000;

constexpr const char* kAddedKey = "key-of-a-large-configuration";

std::size_t EncodedBytes(const std::string& document) {
  core::Findings findings;
  const schema::Fleet fleet = ReadFleet(document, findings);
  const schema::PutFleet command =
      fleet::MakePutCommand(fleet, document, findings);
  REQUIRE(findings.empty());
  return command.fleet.size();
}

/// Returns a configuration of which the encoded form takes `encoded` bytes and
/// the document kMaxFleetBytes.
std::string MakeDocument(const std::string& base, std::uint64_t version,
                         std::size_t encoded) {
  constexpr std::size_t kKeys = 200;
  constexpr std::size_t kMargin = 12000;
  Json document = *ParseJson(base);
  document["version"] = version;
  document["tenants"].push_back({{"name", "added"},
                                 {"api_keys", Json::array({kAddedKey})},
                                 {"priority", 1}});
  std::size_t number = 0;
  while (EncodedBytes(document.dump()) + kMargin < encoded) {
    Json keys = Json::array();
    for (std::size_t key = 0; key < kKeys; ++key) {
      keys.push_back("generated-key-" + std::to_string(100000 + number++));
    }
    document["tenants"].push_back({{"name", "t" + std::to_string(number)},
                                   {"api_keys", keys},
                                   {"priority", 1}});
  }
  // Keys of up to 128 bytes fill the rest.
  Json& last = document["tenants"].back()["api_keys"];
  for (Json& key : last) {
    const std::size_t missing = encoded - EncodedBytes(document.dump());
    if (missing == 0) break;
    const auto text = key.get<std::string>();
    key = text + std::string(std::min<std::size_t>(missing, 100), 'x');
  }
  std::string text = document.dump();
  REQUIRE(EncodedBytes(text) == encoded);
  text.insert(1, schema::kMaxFleetBytes - text.size(), ' ');
  return text;
}

struct Answer {
  unsigned status = 0;
  std::string body;
};

/// Sends a document to one control host until the answer is another than 503.
Answer Put(Scenario& scenario, const std::string& document, std::size_t control,
           core::Duration patience) {
  Answer answer;
  bool waiting = false;
  scenario.RunUntil(
      [&] {
        if (!waiting && (answer.status == 0 || answer.status == 503)) {
          waiting = true;
          scenario.config_operator().PutDocument(
              document, control,
              [&](unsigned status, const net::Fields&,
                  const std::string& body) {
                answer = {status, body};
                waiting = false;
              });
        }
        return !waiting && answer.status != 0 && answer.status != 503;
      },
      patience);
  scenario.RunUntil([&] { return !waiting; }, kPatience);
  return answer;
}

}  // namespace

// A configuration that the leader took into its log and that no message carried
// stopped all later changes; larger ones were refused as if to be sent again.
TEST_CASE("the largest configuration is carried, stored and read back") {
  Scenario::Options options;
  options.models = 0;
  options.apps = 3;
  Scenario scenario(options);
  scenario.AwaitServing();
  const std::string base = scenario.config_operator().document();
  const std::string over =
      MakeDocument(base, kFirstVersion, schema::kMaxFleetBytes + 1);
  std::uint64_t version = kFirstVersion;
  // One of the hosts leads; the others pass the change on to it.
  for (std::size_t control = 0; control < soak::kControlHosts; ++control) {
    const Answer refused = Put(scenario, over, control, kAckBound);
    CHECK(refused.status == 413);
    const std::string size = std::to_string(schema::kMaxFleetBytes + 1);
    const std::string limit = std::to_string(schema::kMaxFleetBytes);
    CHECK(refused.body.find(size) != std::string::npos);
    CHECK(refused.body.find(limit) != std::string::npos);
    const std::string largest =
        MakeDocument(base, ++version, schema::kMaxFleetBytes);
    CHECK(Put(scenario, largest, control, kAckBound).status == 200);
  }
  const auto serves_added_key = [&] {
    const auto found = scenario.statuses().find(200);
    const unsigned before =
        found == scenario.statuses().end() ? 0U : found->second;
    scenario.Repeat(std::chrono::milliseconds(100), [&] {
      for (std::size_t entry = 0; entry < soak::kEntryHosts; ++entry) {
        scenario.SendPlainWithKey("read", entry, kAddedKey);
      }
    });
    const bool served = scenario.RunUntil(
        [&] {
          const auto now = scenario.statuses().find(200);
          return now != scenario.statuses().end() &&
                 now->second >= before + 10 * soak::kEntryHosts;
        },
        kPatience);
    scenario.StopRepeating();
    return served;
  };
  CHECK(serves_added_key());
  // All hosts read it from their disks and from each other again.
  for (std::size_t host = 0; host < soak::kHosts; ++host) {
    scenario.cluster().Kill(host);
  }
  for (std::size_t host = 0; host < soak::kHosts; ++host) {
    scenario.cluster().Start(host);
  }
  CHECK(serves_added_key());
  Json small = *ParseJson(base);
  small["version"] = ++version;
  CHECK(Put(scenario, small.dump(), 0, kPatience).status == 200);
  scenario.RunFor(std::chrono::seconds(1));
}

}  // namespace foxquay::platform::scenarios
