#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/storage/store.h"
#include "store_fixture.h"

namespace foxquay::storage {
namespace {

/// Calls that a full disk or a broken one fails.
struct Failures {
  bool counting = false;
  std::size_t calls = 0;  ///< Counted so far.
  std::size_t first = 0;  ///< Number of the first call that fails.
  std::size_t count = 0;  ///< Number of calls that fail.
  int error = 0;

  /// Counts a call and returns whether it is to fail.
  bool Next() {
    if (!counting) return false;
    const std::size_t call = calls++;
    if (call < first || call >= first + count) return false;
    errno = error;
    return true;
  }
};

Failures failures;

}  // namespace
}  // namespace foxquay::storage

// These replace the C library's functions in the test program. Nothing is
// synced, as no test cuts the power.
extern "C" {
ssize_t write(int descriptor, const void* bytes, size_t size) {
  if (!foxquay::storage::failures.Next()) {
    return syscall(SYS_write, descriptor, bytes, size);
  }
  // A disk that becomes full takes the first part.
  const int error = errno;
  if (size > 1) (void)syscall(SYS_write, descriptor, bytes, size / 2);
  errno = error;
  return -1;
}

int fdatasync(int /*descriptor*/) {
  return foxquay::storage::failures.Next() ? -1 : 0;
}

int fsync(int /*descriptor*/) {
  return foxquay::storage::failures.Next() ? -1 : 0;
}

int ftruncate(int descriptor, off_t size) noexcept {
  if (foxquay::storage::failures.Next()) return -1;
  return static_cast<int>(syscall(SYS_ftruncate, descriptor, size));
}

int rename(const char* from, const char* to) noexcept {
  if (foxquay::storage::failures.Next()) return -1;
  return static_cast<int>(syscall(SYS_renameat, AT_FDCWD, from, AT_FDCWD, to));
}
}

namespace foxquay::storage {
namespace {

namespace fs = std::filesystem;
using State = consensus::PersistentState;
using Write = std::variant<consensus::Persist, consensus::SaveSnapshot>;

/// Makes calls fail while it exists.
class FailingDisk {
 public:
  FailingDisk(std::size_t first, std::size_t count, int error) {
    failures = {true, 0, first, count, error};
  }
  ~FailingDisk() { failures.counting = false; }
  FailingDisk(const FailingDisk&) = delete;
  FailingDisk& operator=(const FailingDisk&) = delete;
};

schema::LogRecord MakeRecord(std::uint64_t term, std::uint64_t first,
                             std::size_t count) {
  schema::LogRecord record{term, {}, first, {}};
  for (std::size_t i = 0; i < count; ++i) {
    record.entries.push_back(
        {term,
         schema::EntryKind::kCommand,
         {},
         std::to_string(first + i) + "in" + std::to_string(term)});
  }
  return record;
}

void Apply(State& state, const schema::LogRecord& record) {
  state.term = record.term;
  state.vote = record.vote;
  state.entries.resize(record.first - state.snapshot.meta.index - 1);
  state.entries.insert(state.entries.end(), record.entries.begin(),
                       record.entries.end());
}

void Apply(State& state, const consensus::Snapshot& snapshot) {
  const std::uint64_t covered = snapshot.meta.index - state.snapshot.meta.index;
  const bool continues = state.entries.size() >= covered;
  const auto begin = state.entries.begin();
  state.entries.erase(begin, continues
                                 ? begin + static_cast<std::ptrdiff_t>(covered)
                                 : state.entries.end());
  state.snapshot = snapshot;
}

consensus::SaveSnapshot MakeSnapshot(std::uint64_t write_id,
                                     std::uint64_t index, const State& state) {
  consensus::SaveSnapshot save;
  save.write_id = consensus::WriteId(write_id);
  save.snapshot.data = std::string(1000, 's') + std::to_string(index);
  save.snapshot.meta.index = index;
  save.snapshot.meta.term =
      state.entries[index - state.snapshot.meta.index - 1].term;
  save.snapshot.meta.size = save.snapshot.data.size();
  State after = state;
  Apply(after, save.snapshot);
  save.log.push_back({after.term, after.vote, index + 1, after.entries});
  return save;
}

/// Returns batches of writes that a replica may make, each synced at once:
/// records, replaced entries and snapshots.
std::vector<std::vector<Write>> MakeBatches() {
  std::vector<std::vector<Write>> batches;
  State state;
  std::uint64_t write_id = 0;
  const auto persist = [&](std::uint64_t term, std::uint64_t first,
                           std::size_t count) {
    consensus::Persist made{consensus::WriteId(++write_id),
                            MakeRecord(term, first, count)};
    Apply(state, made.record);
    batches.back().emplace_back(std::move(made));
  };
  const auto save = [&](std::uint64_t index) {
    auto made = MakeSnapshot(++write_id, index, state);
    Apply(state, made.snapshot);
    batches.back().emplace_back(std::move(made));
  };
  batches.emplace_back();
  persist(1, 1, 3);
  batches.emplace_back();
  persist(1, 4, 1);
  persist(2, 4, 2);  // Replaces entry 4.
  batches.emplace_back();
  persist(2, 6, 1);
  save(4);
  persist(2, 7, 2);
  batches.emplace_back();
  persist(3, 9, 0);  // A vote.
  batches.emplace_back();
  persist(3, 8, 3);  // Replaces entry 8.
  save(10);
  batches.emplace_back();
  persist(3, 11, 1);
  return batches;
}

/// Writes the batches as ControlDisk does and checks after each failed call
/// what a process that starts then would find.
class Writer {
 public:
  explicit Writer(const fs::path& folder) : folder_(folder) {}

  /// Returns whether the folder was opened; repeats while there is no room.
  [[nodiscard]] bool Open() {
    while (!store_) {
      core::Findings findings;
      auto store = Store::Open(folder_, kHost, findings);
      if (store) {
        store_.emplace(std::move(store).value());
        CHECK(Equal(store_->TakeRecovered().persistent_state, State()));
      } else if (!IsOutOfSpace(store.error())) {
        return false;
      }
    }
    return true;
  }

  /// Returns whether all was written; repeats while there is no room, and gives
  /// up at the first other error.
  [[nodiscard]] bool Run(const std::vector<Write>& batch) {
    allowed_ = {durable_};
    State state = durable_;
    consensus::WriteId last;
    for (const Write& write : batch) {
      if (const auto* persist = std::get_if<consensus::Persist>(&write)) {
        store_->Write(*persist);
        Apply(state, persist->record);
        last = persist->write_id;
      } else {
        const auto& save = std::get<consensus::SaveSnapshot>(write);
        // The snapshot may be there without the log that continues it.
        for (const State& before : std::vector<State>(allowed_)) {
          allowed_.push_back(before);
          Apply(allowed_.back(), save.snapshot);
        }
        Apply(state, save.snapshot);
        allowed_.push_back(state);
        while (const auto error = store_->Write(save)) {
          if (!MayRepeat(error)) return false;
        }
        allowed_ = {state};
        last = save.write_id;
      }
      allowed_.push_back(state);
    }
    auto synced = store_->Sync();
    while (!synced) {
      if (!MayRepeat(synced.error())) return false;
      synced = store_->Sync();
    }
    CHECK(synced.value() == last);
    durable_ = state;
    allowed_ = {state};
    return true;
  }

  /// Checks what a process that starts now finds, also if it ends at once and
  /// starts again.
  void CheckStart() const {
    const bool counting = std::exchange(failures.counting, false);
    const TempFolder copy;
    for (const auto& entry : fs::directory_iterator(folder_)) {
      fs::copy(entry.path(), copy.path() / entry.path().filename());
    }
    CheckStartOnFullDisk(copy.path());
    for (int start = 0; start < 2; ++start) {
      core::Findings findings;
      auto store = Store::Open(copy.path(), kHost, findings);
      for (const auto& finding : findings) UNSCOPED_INFO(core::Format(finding));
      REQUIRE(store);
      const State found = store.value().TakeRecovered().persistent_state;
      const bool expected =
          std::any_of(allowed_.begin(), allowed_.end(),
                      [&](const State& it) { return Equal(found, it); });
      CHECK(expected);
    }
    failures.counting = counting;
  }

  void End() { store_.reset(); }

 private:
  /// A start may fail for want of room at any call, and leaves the data as it
  /// was.
  static void CheckStartOnFullDisk(const fs::path& folder) {
    const Failures former = failures;
    for (std::size_t first = 0; first < 10; ++first) {
      const FailingDisk full(first, 100, ENOSPC);
      core::Findings findings;
      const auto store = Store::Open(folder, kHost, findings);
      if (!store) CHECK(IsOutOfSpace(store.error()));
    }
    failures = former;
  }

  bool MayRepeat(std::error_code error) const {
    CheckStart();
    return IsOutOfSpace(error);
  }

  fs::path folder_;
  std::optional<Store> store_;
  State durable_;
  std::vector<State> allowed_ = {State()};  ///< That a start may find.
};

/// Returns whether calls were made that could have failed.
bool CheckFailure(std::size_t first, std::size_t count, int error) {
  CAPTURE(first, count, error);
  const TempFolder folder;
  Writer writer(folder.path());
  bool goes_on = true;
  {
    const FailingDisk disk(first, count, error);
    goes_on = writer.Open();
    for (const auto& batch : MakeBatches()) {
      goes_on = goes_on && writer.Run(batch);
    }
  }
  CHECK((goes_on || error == EIO));
  writer.End();
  writer.CheckStart();
  return failures.calls > first;
}

}  // namespace

// Guards against records that are lost, or a folder that cannot be opened,
// after any one call of a sequence of writes failed for want of room.
TEST_CASE("each call may fail for want of room") {
  for (const int error : {ENOSPC, EDQUOT}) {
    for (const std::size_t count : {1, 2, 7}) {
      std::size_t first = 0;
      while (CheckFailure(first, count, error)) ++first;
      CHECK(first > 30);
    }
  }
}

// Guards against confirmed records that are lost when a process ends after any
// one call failed for another reason.
TEST_CASE("each call may fail for good") {
  std::size_t first = 0;
  while (CheckFailure(first, 1, EIO)) ++first;
  CHECK(first > 30);
}

}  // namespace foxquay::storage
