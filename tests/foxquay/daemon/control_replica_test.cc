#include "foxquay/daemon/control_replica.h"

#include <algorithm>
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
  /// Returns the bytes that the latest snapshot leaves on the disk.
  [[nodiscard]] std::size_t saved_bytes() const { return saved_bytes_; }

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
    output.save_snapshot = [this](consensus::SaveSnapshot&& action) {
      writes_.push_back(action.write_id);
      saved_bytes_ = action.snapshot.data.size();
      for (const schema::LogRecord& record : action.log) {
        for (const auto& entry : record.entries) {
          saved_bytes_ += entry.payload.size();
        }
      }
    };
    output.changed = [] {};
    output.failed = [](std::error_code) {};
    return output;
  }

  core::Instant now_ = core::Instant(seconds(6));
  std::vector<consensus::WriteId> writes_;
  std::size_t saved_bytes_ = 0;
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

// Guards against a process that runs out of memory, or of disk, by hundreds of
// changes of a large configuration: 10,000 entries of 500 KB have 5 GB.
TEST_CASE("large changes do not fill the memory of a control host") {
  constexpr std::size_t kMemory = std::size_t{16} << 20U;
  LoneReplica lone;
  std::vector<core::Result<schema::ControlResult>> results;
  std::size_t most = 0;
  for (std::uint64_t version = 1; version <= 300; ++version) {
    lone.Put(version, results);
    lone.FinishWrites();
    most = std::max(most, lone.replica().replica().log_bytes());
  }
  CHECK(lone.replica().state().fleet().version == 300);
  CHECK(most < kMemory);
  CHECK(lone.saved_bytes() > 0);
  CHECK(lone.saved_bytes() < kMemory);
}

}  // namespace
}  // namespace foxquay::daemon
