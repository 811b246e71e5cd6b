// Measures the time of a replica to restart and its rate of durable writes.
//
// Usage: bench_restart [FOLDER]; the disk that holds FOLDER is measured.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "foxquay/consensus/replica.h"
#include "foxquay/schema/consensus.h"
#include "foxquay/storage/store.h"

namespace foxquay::storage {
namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::uint64_t kEntries = 28000;
constexpr std::size_t kPayloadBytes = 400;
constexpr std::uint64_t kRecordsPerSync = 64;
constexpr int kRuns = 5;

const core::HostId kHost("entry-1");
const schema::ReplicaId kLeader{core::HostId("entry-2"), 2};

Store OpenOrExit(const std::filesystem::path& folder) {
  core::Findings findings;
  auto store = Store::Open(folder, kHost, findings);
  if (store) return std::move(store.value());
  for (const auto& finding : findings) {
    std::fprintf(stderr, "%s\n", core::Format(finding).c_str());
  }
  std::exit(EXIT_FAILURE);
}

consensus::Persist MakeRecord(std::uint64_t index) {
  consensus::Persist persist{consensus::WriteId(index), {1, {}, index, {}}};
  persist.record.entries.push_back(
      {1, schema::EntryKind::kCommand, {}, std::string(kPayloadBytes, 'x')});
  return persist;
}

/// Writes entries and syncs after each `records_per_sync`; returns the time
/// taken.
Milliseconds WriteEntries(Store& store, std::uint64_t count,
                          std::uint64_t records_per_sync) {
  const auto start = Clock::now();
  for (std::uint64_t index = 1; index <= count; ++index) {
    store.Write(MakeRecord(index));
    const bool sync = index % records_per_sync == 0 || index == count;
    if (sync && !store.Sync()) std::exit(EXIT_FAILURE);
  }
  return Clock::now() - start;
}

/// Saves the initial configuration, without which a replica accepts no leader.
void SaveInitialConfiguration(Store& store, const schema::ReplicaId& self) {
  consensus::SaveSnapshot save;
  save.snapshot.meta.configuration.voters = {self, kLeader};
  save.log.push_back({0, {}, 1, {}});
  if (store.Write(save)) std::exit(EXIT_FAILURE);
}

struct Restart {
  Milliseconds read{};     ///< Until log and snapshot are in memory.
  Milliseconds applied{};  ///< Until all commands were handed out to apply.
  std::size_t commands = 0;
};

/// Restarts a replica and delivers a heartbeat that says that all entries are
/// committed.
Restart MeasureRestart(const std::filesystem::path& folder) {
  Restart restart;
  const auto start = Clock::now();
  Store store = OpenOrExit(folder);
  Recovered recovered = store.TakeRecovered();
  restart.read = Clock::now() - start;
  consensus::Options options;
  options.self = recovered.self;
  consensus::Replica replica(options, std::move(recovered.persistent_state),
                             Clock::now());
  schema::AppendRequest heartbeat;
  heartbeat.header = {kLeader, options.self, 1};
  heartbeat.previous_index = kEntries;
  heartbeat.previous_term = 1;
  heartbeat.commit = kEntries;
  const auto actions =
      replica.Handle(consensus::Received{heartbeat}, Clock::now());
  restart.commands = static_cast<std::size_t>(std::count_if(
      actions.begin(), actions.end(), [](const consensus::Action& action) {
        return std::holds_alternative<consensus::Apply>(action);
      }));
  restart.applied = Clock::now() - start;
  if (replica.applied() != kEntries) std::exit(EXIT_FAILURE);
  return restart;
}

void PrintRestarts(const char* name, const std::filesystem::path& folder) {
  std::vector<Restart> restarts;
  restarts.reserve(kRuns);
  for (int run = 0; run < kRuns; ++run) {
    restarts.push_back(MeasureRestart(folder));
  }
  std::sort(restarts.begin(), restarts.end(),
            [](const Restart& left, const Restart& right) {
              return left.applied < right.applied;
            });
  const Restart& median = restarts[restarts.size() / 2];
  std::printf("%-34s %10.1f %10.1f %10.1f %10zu\n", name, median.read.count(),
              median.applied.count(), restarts.back().applied.count(),
              median.commands);
}

/// Replaces the whole log with a snapshot; returns the time taken.
Milliseconds ReplaceLogWithSnapshot(const std::filesystem::path& folder) {
  Store store = OpenOrExit(folder);
  consensus::SaveSnapshot save;
  auto& meta = save.snapshot.meta;
  meta.index = kEntries;
  meta.term = 1;
  meta.configuration.voters = {store.TakeRecovered().self, kLeader};
  save.snapshot.data.assign(kEntries * kPayloadBytes, 'x');
  meta.size = save.snapshot.data.size();
  save.log.push_back({1, {}, kEntries + 1, {}});
  const auto start = Clock::now();
  if (store.Write(save)) std::exit(EXIT_FAILURE);
  return Clock::now() - start;
}

void MeasureRestarts(const std::filesystem::path& folder) {
  {
    Store store = OpenOrExit(folder);
    SaveInitialConfiguration(store, store.TakeRecovered().self);
    WriteEntries(store, kEntries, kRecordsPerSync);
  }
  std::printf("%-34s %10s %10s %10s %10s\n", "restart, 28,000 entries of 400 B",
              "read, ms", "ready, ms", "worst, ms", "replayed");
  PrintRestarts("without a snapshot", folder);
  const Milliseconds taken = ReplaceLogWithSnapshot(folder);
  PrintRestarts("with a snapshot of 11.2 MB", folder);
  std::printf("%-34s %10s %10.1f\n", "saving that snapshot", "", taken.count());
}

void MeasureWrites(const std::filesystem::path& folder) {
  std::printf("\n%-34s %10s %10s\n", "append + fsync, 400 B", "records/s",
              "ms/sync");
  for (const std::uint64_t records_per_sync : {1, 8, 64}) {
    const std::uint64_t count = 256 * records_per_sync;
    const auto group_folder = folder / std::to_string(records_per_sync);
    Store store = OpenOrExit(group_folder);
    const Milliseconds taken = WriteEntries(store, count, records_per_sync);
    std::printf("%-34s %10.0f %10.3f\n",
                (std::to_string(records_per_sync) + " records a sync").c_str(),
                static_cast<double>(count) / taken.count() * 1000,
                taken.count() / 256);
  }
}

}  // namespace
}  // namespace foxquay::storage

int main(int argc, char** argv) {
  const std::filesystem::path folder =
      std::filesystem::path(argc > 1 ? argv[1] : ".") / "bench_restart_data";
  std::filesystem::remove_all(folder);
  foxquay::storage::MeasureRestarts(folder / "restart");
  foxquay::storage::MeasureWrites(folder);
  std::filesystem::remove_all(folder);
  return 0;
}
