#include "foxquay/daemon/control_disk.h"

#include <sys/resource.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace foxquay::daemon {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

const core::HostId kHost("h1");

/// A control disk in a temporary folder that refuses to let files grow beyond a
/// size, and the newest write that it confirmed.
class LimitedDisk {
 public:
  LimitedDisk() {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &former_);
    std::string name = (fs::temp_directory_path() / "foxquay-XXXXXX").string();
    folder_ = mkdtemp(name.data());
    disk_.emplace(kHost, folder_.string(),
                  [this](consensus::WriteId id) { confirmed_ = id.value(); });
    REQUIRE(disk_->Recover());
  }
  ~LimitedDisk() {
    SetLimit(former_.rlim_cur);
    disk_.reset();
    fs::remove_all(folder_);
  }
  LimitedDisk(const LimitedDisk&) = delete;
  LimitedDisk& operator=(const LimitedDisk&) = delete;

  void SetLimit(rlim_t bytes) const {
    const rlimit limit{bytes, former_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  void Refuse() const { SetLimit(0); }
  void MakeRoom() const { SetLimit(former_.rlim_cur); }

  void Persist(std::uint64_t write_id, std::uint64_t index) {
    disk_->Persist(
        {consensus::WriteId(write_id),
         {1, {}, index, {{1, schema::EntryKind::kCommand, {}, "c"}}}});
  }
  /// Saves a snapshot of the entries up to `index`, which is the last one.
  /// `covered` tells that they have been written.
  void SaveSnapshot(std::uint64_t write_id, std::uint64_t index,
                    bool covered = true) {
    consensus::SaveSnapshot save;
    save.write_id = consensus::WriteId(write_id);
    save.snapshot.meta.index = index;
    save.snapshot.meta.term = 1;
    save.snapshot.data = std::string(100'000, 's');
    save.snapshot.meta.size = save.snapshot.data.size();
    save.log.push_back({1, {}, index + 1, {}});
    save.covered = covered;
    disk_->SaveSnapshot(std::move(save));
  }

  /// Returns whether a write is confirmed within `limit`.
  [[nodiscard]] bool Confirms(std::uint64_t write_id, milliseconds limit) {
    constexpr milliseconds kPause(10);
    for (auto left = limit; left > kPause; left -= kPause) {
      if (confirmed_ >= write_id) return true;
      std::this_thread::sleep_for(kPause);
    }
    return confirmed_ >= write_id;
  }

  /// Starts again and returns what the folder holds.
  consensus::PersistentState Restart() {
    disk_.emplace(kHost, folder_.string(), [](consensus::WriteId) {});
    auto recovered = disk_->Recover();
    REQUIRE(recovered);
    return std::move(recovered).value();
  }
  /// Ends the thread; writes that wait for room are given up.
  void Stop() { disk_.reset(); }
  [[nodiscard]] bool full() const { return disk_->full(); }

 private:
  rlimit former_{};
  fs::path folder_;
  std::atomic<std::uint64_t> confirmed_{0};
  std::optional<ControlDisk> disk_;
};

}  // namespace

// Guards against writes that are confirmed on a full disk, or never afterwards.
TEST_CASE("a control disk that was full confirms all writes once it has room") {
  LimitedDisk disk;
  disk.Persist(1, 1);
  REQUIRE(disk.Confirms(1, milliseconds(5000)));
  disk.Refuse();
  disk.Persist(2, 2);
  disk.Persist(3, 3);
  CHECK_FALSE(disk.Confirms(2, milliseconds(500)));
  CHECK(disk.full());
  disk.MakeRoom();
  CHECK(disk.Confirms(3, milliseconds(2000)));
  CHECK_FALSE(disk.full());
  disk.Stop();
  CHECK(disk.Restart().entries.size() == 3);
}

// A snapshot that did not fit held up all later records, on all replicas at
// about the same entry, although there was room for records.
TEST_CASE("records are confirmed although a snapshot does not fit") {
  LimitedDisk disk;
  disk.Persist(1, 1);
  REQUIRE(disk.Confirms(1, milliseconds(5000)));
  constexpr rlim_t kRoomForRecords = 50'000;
  disk.SetLimit(kRoomForRecords);
  disk.Persist(2, 2);
  disk.SaveSnapshot(3, 2);
  disk.Persist(4, 3);
  CHECK(disk.Confirms(4, milliseconds(2000)));
  disk.Stop();
  const auto without = disk.Restart();
  CHECK(without.snapshot.meta.index == 0);
  CHECK(without.entries.size() == 3);

  disk.MakeRoom();
  disk.Persist(5, 4);
  disk.SaveSnapshot(6, 4);
  disk.Persist(7, 5);
  disk.Stop();
  const auto with = disk.Restart();
  CHECK(with.snapshot.meta.index == 4);
  CHECK(with.entries.size() == 1);
}

// Guards against a replica that confirms a snapshot of the leader which its
// disk does not hold.
TEST_CASE("a snapshot that replaces the log is confirmed once it fits") {
  LimitedDisk disk;
  disk.Persist(1, 1);
  REQUIRE(disk.Confirms(1, milliseconds(5000)));
  constexpr rlim_t kRoomForRecords = 50'000;
  disk.SetLimit(kRoomForRecords);
  disk.SaveSnapshot(2, 9, false);
  disk.Persist(3, 10);
  CHECK_FALSE(disk.Confirms(2, milliseconds(500)));
  CHECK(disk.full());
  disk.MakeRoom();
  CHECK(disk.Confirms(3, milliseconds(2000)));
  disk.Stop();
  const auto recovered = disk.Restart();
  CHECK(recovered.snapshot.meta.index == 9);
  CHECK(recovered.entries.size() == 1);
}

}  // namespace foxquay::daemon
