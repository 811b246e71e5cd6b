#include "foxquay/daemon/control_replica.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "foxquay/schema/codec.h"

namespace foxquay::daemon {
namespace {

using std::chrono::seconds;

schema::PutFleet MakePut(std::uint64_t version) {
  schema::PutFleet put;
  put.version = version;
  put.fleet = std::string(200'000, 'f');
  put.source = std::string(300'000, 's');
  return put;
}

/// A group of one replica whose disk answers when it is told to.
class LoneReplica {
 public:
  LoneReplica()
      : replica_(Options(), {}, MakeOutput(), seconds(4), core::Instant()) {
    for (int step = 0; step < 4; ++step) {
      replica_.Handle(consensus::Tick{}, core::Instant(seconds(2 * step)));
      FinishWrites();
    }
    REQUIRE(replica_.leads());
  }

  void Put(std::uint64_t version,
           std::vector<core::Result<schema::ControlResult>>& results) {
    replica_.Propose(schema::Encode(schema::ControlCommand(MakePut(version))),
                     core::WallTime(), now_,
                     [&results](const core::Result<schema::ControlResult>& it) {
                       results.push_back(it);
                     });
  }

  void FinishWrites() {
    for (const consensus::WriteId id : std::exchange(writes_, {})) {
      replica_.Handle(consensus::Persisted{id}, now_);
    }
    if (!writes_.empty()) FinishWrites();
  }

  [[nodiscard]] const ControlReplica& replica() const { return replica_; }

 private:
  static consensus::Options Options() {
    consensus::Options options;
    options.self = {core::HostId("a"), 1};
    options.founders = {core::HostId("a")};
    return options;
  }

  ControlReplica::Output MakeOutput() {
    ControlReplica::Output output;
    output.send = [](const core::HostId&, const schema::ConsensusMessage&) {};
    output.persist = [this](consensus::Persist&& action) {
      writes_.push_back(action.write_id);
    };
    output.save_snapshot = [](consensus::SaveSnapshot&&) {};
    output.changed = [] {};
    output.failed = [](std::error_code) {};
    return output;
  }

  core::Instant now_ = core::Instant(seconds(6));
  std::vector<consensus::WriteId> writes_;
  ControlReplica replica_;
};

// Guards against operators' repeats of a large change that each go through the
// log, while the first one waits for the overload that they cause.
TEST_CASE("a large change that is put again is replicated once") {
  LoneReplica lone;
  const consensus::Index before = lone.replica().replica().commit();
  std::vector<core::Result<schema::ControlResult>> results;
  lone.Put(4, results);
  lone.Put(4, results);
  lone.Put(7, results);
  lone.FinishWrites();
  CHECK(lone.replica().replica().commit() == before + 2);
  REQUIRE(results.size() == 3);
  for (const auto& result : results) {
    REQUIRE(result);
    CHECK(std::get<schema::FleetResult>(result.value()).replaced);
  }
  CHECK(lone.replica().state().fleet().version == 7);

  const auto known = lone.replica().FindResult(MakePut(4));
  REQUIRE(known);
  CHECK(known->version == 7);
  CHECK_FALSE(known->replaced);
  CHECK_FALSE(lone.replica().FindResult(MakePut(8)));
}

}  // namespace
}  // namespace foxquay::daemon
