#include "foxquay/storage/store.h"

#include <rapidcheck.h>
#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "foxquay/storage/frame.h"
#include "store_fixture.h"

namespace foxquay::storage {
namespace {

namespace fs = std::filesystem;

std::string ReadBytes(const fs::path& path) { return ReadFile(path).value(); }

void WriteBytes(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

fs::path CurrentSegment(const fs::path& folder) {
  return internal::ListFiles(folder).segments.rbegin()->second;
}

Store MustOpen(const fs::path& folder) {
  core::Findings findings;
  auto store = Store::Open(folder, kHost, findings);
  for (const auto& finding : findings) UNSCOPED_INFO(core::Format(finding));
  REQUIRE(store);
  return std::move(store.value());
}

std::string OpenError(const fs::path& folder) {
  core::Findings findings;
  const auto store = Store::Open(folder, kHost, findings);
  if (store || findings.empty()) return "";
  return findings[0].message;
}

consensus::Persist MakePersist(std::uint64_t write_id, std::uint64_t term,
                               std::uint64_t first, std::size_t count) {
  consensus::Persist persist{consensus::WriteId(write_id),
                             {term, {}, first, {}}};
  for (std::size_t i = 0; i < count; ++i) {
    persist.record.entries.push_back(
        {term,
         schema::EntryKind::kCommand,
         {},
         "p" + std::to_string(write_id * 100 + i)});
  }
  return persist;
}

void ApplyRecord(consensus::PersistentState& model,
                 const schema::LogRecord& record) {
  model.term = record.term;
  model.vote = record.vote;
  model.entries.resize(record.first - model.snapshot.meta.index - 1);
  model.entries.insert(model.entries.end(), record.entries.begin(),
                       record.entries.end());
}

/// Returns a snapshot of the model that leaves its last `uncovered` entries in
/// the log.
consensus::SaveSnapshot MakeSnapshot(const consensus::PersistentState& model,
                                     std::uint64_t write_id,
                                     std::size_t uncovered) {
  consensus::SaveSnapshot save;
  save.write_id = consensus::WriteId(write_id);
  const std::size_t covered = model.entries.size() - uncovered;
  auto& meta = save.snapshot.meta;
  meta.index = model.snapshot.meta.index + covered;
  meta.term = model.entries[covered - 1].term;
  save.snapshot.data = "state " + std::to_string(write_id);
  meta.size = save.snapshot.data.size();
  save.log.push_back({model.term, model.vote, meta.index + 1, {}});
  save.log[0].entries.assign(
      model.entries.begin() + static_cast<std::ptrdiff_t>(covered),
      model.entries.end());
  return save;
}

}  // namespace

TEST_CASE("the incarnation of a data folder is drawn once") {
  TempFolder folder;
  schema::ReplicaId first;
  {
    Store store = MustOpen(folder.path());
    const Recovered recovered = store.TakeRecovered();
    CHECK(recovered.created);
    first = recovered.self;
    CHECK(first.incarnation != 0);
    // A second process must not write to the same folder.
    CHECK(OpenError(folder.path()).find("locked") != std::string::npos);
  }
  CHECK(MustOpen(folder.path()).TakeRecovered().self == first);
  fs::remove_all(folder.path());
  CHECK(MustOpen(folder.path()).TakeRecovered().self != first);
}

// Guards against a second vote in one term after only the log or only the
// identity of a replica was deleted.
TEST_CASE("identity and log are refused without each other") {
  TempFolder folder;
  {
    Store store = MustOpen(folder.path());
    store.Write(MakePersist(1, 1, 1, 1));
    REQUIRE(store.Sync());
  }
  const fs::path log = CurrentSegment(folder.path());
  fs::rename(log, folder.path() / "elsewhere");
  CHECK(OpenError(folder.path()).find("delete the data folder") !=
        std::string::npos);
  fs::rename(folder.path() / "elsewhere", log);
  fs::remove(folder.path() / "identity");
  CHECK(OpenError(folder.path()).find("new incarnation") != std::string::npos);
}

// Guards against lost or invented records after a crash at any byte of several
// records that are written with one sync.
TEST_CASE("an incomplete last write is discarded and all others survive") {
  TempFolder folder;
  std::vector<consensus::PersistentState> models(1);
  const auto write = [&](Store& store, const consensus::Persist& persist) {
    store.Write(persist);
    models.push_back(models.back());
    ApplyRecord(models.back(), persist.record);
  };
  std::size_t synced = 0;
  {
    Store store = MustOpen(folder.path());
    write(store, MakePersist(1, 1, 1, 3));
    CHECK(store.Sync().value() == consensus::WriteId(1));
    synced = ReadBytes(CurrentSegment(folder.path())).size();
    write(store, MakePersist(2, 2, 3, 2));
    write(store, MakePersist(3, 2, 5, 1));
    CHECK(store.Sync().value() == consensus::WriteId(3));
  }
  const std::string whole = ReadBytes(CurrentSegment(folder.path()));
  std::size_t next = 1;
  for (std::size_t size = synced; size <= whole.size(); ++size) {
    WriteBytes(CurrentSegment(folder.path()), whole.substr(0, size));
    const auto recovered =
        MustOpen(folder.path()).TakeRecovered().persistent_state;
    if (next + 1 < models.size() && Equal(recovered, models[next + 1])) ++next;
    REQUIRE(Equal(recovered, models[next]));
    // The first start truncated the file.
    REQUIRE(MustOpen(folder.path()).TakeRecovered().discarded_bytes == 0);
  }
  CHECK(next == models.size() - 1);
  // Pages of one unsynced write may reach the disk in any order.
  for (std::size_t at = synced; at < whole.size(); ++at) {
    std::string bytes = whole;
    bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
    WriteBytes(CurrentSegment(folder.path()), bytes);
    REQUIRE(OpenError(folder.path()).empty());
  }
}

// Guards against a start from a log whose synced part is damaged.
TEST_CASE("damage before the last write is refused with a remedy") {
  TempFolder folder;
  std::size_t synced = 0;
  {
    Store store = MustOpen(folder.path());
    store.Write(MakePersist(1, 1, 1, 3));
    REQUIRE(store.Sync());
    synced = ReadBytes(CurrentSegment(folder.path())).size();
    store.Write(MakePersist(2, 1, 4, 1));
    REQUIRE(store.Sync());
  }
  const std::string whole = ReadBytes(CurrentSegment(folder.path()));
  for (std::size_t at = 0; at < synced; ++at) {
    std::string bytes = whole;
    bytes[at] = static_cast<char>(bytes[at] ^ 0x01);
    WriteBytes(CurrentSegment(folder.path()), bytes);
    const std::string open_error = OpenError(folder.path());
    INFO("byte " << at);
    REQUIRE(open_error.find("delete the data folder") != std::string::npos);
  }
}

// Guards against data loss by a crash between the steps of saving a snapshot.
TEST_CASE("each step of saving a snapshot leaves a valid folder", "[fuzz]") {
  REQUIRE(rc::check([] {
    TempFolder folder;
    TempFolder copy;
    consensus::PersistentState model;
    std::uint64_t write_id = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int step : steps) {
      Store store = MustOpen(folder.path());
      RC_ASSERT(Equal(store.TakeRecovered().persistent_state, model));
      const std::size_t size = model.entries.size();
      const std::uint64_t last = model.snapshot.meta.index + size;
      if (step < 8 || size < 3) {
        const std::uint64_t cut = size > 1 ? step % 2 : 0;
        ++write_id;
        const auto persist =
            MakePersist(write_id, write_id, last + 1 - cut, step);
        store.Write(persist);
        RC_ASSERT(store.Sync().value() == consensus::WriteId(write_id));
        ApplyRecord(model, persist.record);
        continue;
      }
      fs::remove_all(copy.path());
      fs::copy(folder.path(), copy.path());
      const auto save = MakeSnapshot(model, ++write_id, step % 3);
      RC_ASSERT(!store.Write(save));
      model.snapshot = save.snapshot;
      model.entries = save.log[0].entries;
      // The copy has the new snapshot but only a part of the new segment.
      const auto name = internal::SnapshotPath("", save.snapshot.meta.index);
      fs::copy(folder.path() / name, copy.path() / name);
      WriteBytes(copy.path() / "log-00000000000000000009.tmp", "partial");
      RC_ASSERT(
          Equal(MustOpen(copy.path()).TakeRecovered().persistent_state, model));
      RC_ASSERT(
          Equal(MustOpen(copy.path()).TakeRecovered().persistent_state, model));
      RC_ASSERT(internal::ListFiles(copy.path()).segments.size() == 1U);
    }
    RC_ASSERT(
        Equal(MustOpen(folder.path()).TakeRecovered().persistent_state, model));
  }));
}

// Guards against an old log whose entries conflict with a snapshot that the
// leader sent.
TEST_CASE("an installed snapshot discards conflicting entries") {
  TempFolder folder;
  {
    Store store = MustOpen(folder.path());
    store.Write(MakePersist(1, 1, 1, 5));
    REQUIRE(store.Sync());
  }
  std::string snapshot;
  const schema::SnapshotMeta meta{3, 2, {}, {}, 5};
  {
    TempFolder other;
    Store store = MustOpen(other.path());
    REQUIRE_FALSE(store.Write(consensus::SaveSnapshot{
        consensus::WriteId(1), {meta, "state"}, {{2, {}, 4, {}}}}));
    snapshot = ReadBytes(internal::SnapshotPath(other.path(), 3));
  }
  WriteBytes(internal::SnapshotPath(folder.path(), 3), snapshot);
  const auto recovered =
      MustOpen(folder.path()).TakeRecovered().persistent_state;
  CHECK(recovered.entries.empty());
  CHECK(recovered.snapshot.data == "state");
}

// Limits the size of files while it exists, so that longer writes fail as on a
// full disk, also in the middle.
class FullDisk {
 public:
  explicit FullDisk(std::uint64_t bytes) {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &former_);
    const rlimit limit{bytes, former_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &former_); }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;

 private:
  rlimit former_{};
};

// Guards against a control host that ends, and then cannot start, because its
// disk is full.
TEST_CASE("records wait on a full disk and are written once there is room") {
  TempFolder folder;
  Store store = MustOpen(folder.path());
  const auto entry = [](std::uint64_t index) {
    schema::LogEntry made;
    made.term = 1;
    made.payload = std::string(1000, static_cast<char>('a' + index));
    return made;
  };
  store.Write(
      consensus::Persist{consensus::WriteId(1), {1, {}, 1, {entry(1)}}});
  REQUIRE(store.Sync());
  const auto size = fs::file_size(CurrentSegment(folder.path()));
  {
    const FullDisk full(size + 300);
    store.Write(
        consensus::Persist{consensus::WriteId(2), {1, {}, 2, {entry(2)}}});
    for (int attempt = 0; attempt < 3; ++attempt) {
      const auto synced = store.Sync();
      REQUIRE_FALSE(synced);
      CHECK(IsOutOfSpace(synced.error()));
    }
    consensus::SaveSnapshot save;
    save.write_id = consensus::WriteId(3);
    save.snapshot.data = std::string(100000, 's');
    CHECK(IsOutOfSpace(store.Write(save)));
  }
  store.Write(
      consensus::Persist{consensus::WriteId(2), {1, {}, 2, {entry(2)}}});
  const auto synced = store.Sync();
  REQUIRE(synced);
  CHECK(synced.value() == consensus::WriteId(2));
  Store former = std::move(store);
  const auto copy = folder.path() / "copy";
  fs::copy(folder.path(), copy);
  Store again = MustOpen(copy);
  const auto recovered = again.TakeRecovered();
  REQUIRE(recovered.persistent_state.entries.size() == 2);
  CHECK(recovered.persistent_state.entries[1].payload == entry(2).payload);
}

}  // namespace foxquay::storage
