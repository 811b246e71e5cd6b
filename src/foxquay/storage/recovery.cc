#include "foxquay/storage/recovery.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <string>
#include <system_error>
#include <utility>

#include "foxquay/schema/codec.h"
#include "foxquay/storage/file.h"
#include "foxquay/storage/frame.h"

namespace foxquay::storage::internal {
namespace {

constexpr const char* kIdentityFile = "identity";
constexpr const char* kSegmentPrefix = "log-";
constexpr const char* kSnapshotPrefix = "snapshot-";
constexpr std::size_t kDigits = 20;

std::filesystem::path NumberedPath(const std::filesystem::path& folder,
                                   const std::string& prefix,
                                   std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return folder / (prefix + std::string(kDigits - digits.size(), '0') + digits);
}

void AddNumberedFile(std::map<std::uint64_t, std::filesystem::path>& files,
                     const std::filesystem::path& path,
                     const std::string& prefix) {
  const std::string name = path.filename().string();
  const bool matches =
      name.size() == prefix.size() + kDigits && name.starts_with(prefix);
  if (matches) files[std::stoull(name.substr(prefix.size()))] = path;
}

std::uint64_t RandomIncarnation() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> nonzero(1);
  return nonzero(device);
}

}  // namespace

std::filesystem::path SegmentPath(const std::filesystem::path& folder,
                                  std::uint64_t number) {
  return NumberedPath(folder, kSegmentPrefix, number);
}

std::filesystem::path SnapshotPath(const std::filesystem::path& folder,
                                   std::uint64_t index) {
  return NumberedPath(folder, kSnapshotPrefix, index);
}

FileList ListFiles(const std::filesystem::path& folder) {
  FileList files;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    AddNumberedFile(files.segments, entry.path(), kSegmentPrefix);
    AddNumberedFile(files.snapshots, entry.path(), kSnapshotPrefix);
  }
  return files;
}

Recovery::Recovery(std::filesystem::path folder, core::HostId host,
                   core::Findings& findings)
    : folder_(std::move(folder)),
      host_(std::move(host)),
      findings_(findings),
      files_(ListFiles(folder_)) {}

core::Result<Recovered> Recovery::Run() {
  const bool has_identity = std::filesystem::exists(folder_ / kIdentityFile);
  if (!has_identity && NeverInitialized()) {
    if (auto error = Initialize()) return error;
    return std::move(recovered_);
  }
  if (auto error = ReadIdentity()) return error;
  if (auto error = ReadSnapshot()) return error;
  if (auto error = ReadLog()) return error;
  DropCoveredEntries();
  return std::move(recovered_);
}

bool Recovery::NeverInitialized() const {
  // Initialize writes the identity last, so an interrupted initialization
  // leaves at most one segment, which holds its header only.
  if (!files_.snapshots.empty() || files_.segments.size() > 1) return false;
  if (files_.segments.empty()) return true;
  const auto bytes = ReadFile(files_.segments.begin()->second);
  return bytes && ParseFrames(bytes.value()).payloads.size() <= 1;
}

std::error_code Recovery::Initialize() {
  recovered_.self = {host_, RandomIncarnation()};
  recovered_.created = true;
  std::string segment;
  AppendFrame(segment,
              schema::Encode(schema::SegmentHeader{recovered_.self, 0}), 0);
  position_ = {1, segment.size(), false};
  if (auto error = WriteAtomic(SegmentPath(folder_, 1), segment)) return error;
  std::string identity;
  AppendFrame(identity, schema::Encode(recovered_.self), 0);
  return WriteAtomic(folder_ / kIdentityFile, identity);
}

std::error_code Recovery::ReadIdentity() {
  const std::filesystem::path path = folder_ / kIdentityFile;
  const auto bytes = ReadFile(path);
  if (!bytes) return ReportDamage(path, "identity file missing or unreadable");
  const Frames frames = ParseFrames(bytes.value());
  if (frames.payloads.size() != 1) {
    return ReportDamage(path,
                        "identity file damaged: expected one intact record");
  }
  auto self = schema::Decode<schema::ReplicaId>(frames.payloads[0]);
  if (!self) return ReportDamage(path, "identity file damaged: invalid record");
  if (self.value().host != host_) {
    return ReportDamage(
        path, "data folder belongs to host '" + self.value().host.value() +
                  "', but this host is '" + host_.value() + "'");
  }
  recovered_.self = std::move(self.value());
  return {};
}

std::error_code Recovery::ReadSnapshot() {
  if (files_.snapshots.empty()) return {};
  const std::filesystem::path& path = files_.snapshots.rbegin()->second;
  const auto bytes = ReadFile(path);
  if (!bytes) return ReportDamage(path, "snapshot unreadable");
  Frames frames = ParseFrames(bytes.value());
  if (frames.payloads.size() != 2) {
    return ReportDamage(path, "snapshot damaged: expected two intact records");
  }
  auto meta = schema::Decode<schema::SnapshotMeta>(frames.payloads[0]);
  if (!meta) return ReportDamage(path, "snapshot damaged: invalid metadata");
  recovered_.persistent_state.snapshot = {std::move(meta.value()),
                                          std::move(frames.payloads[1])};
  return {};
}

std::error_code Recovery::ReadLog() {
  if (files_.segments.empty()) {
    return ReportDamage(folder_, "no log file found");
  }
  const auto& [number, path] = *files_.segments.rbegin();
  const auto bytes = ReadFile(path);
  if (!bytes) return ReportDamage(path, "log file unreadable");
  const Frames frames = ParseFrames(bytes.value());
  if (frames.damaged || frames.payloads.empty()) {
    return ReportDamage(path, "log file damaged at byte " +
                                  std::to_string(frames.valid_end) +
                                  ", in data that had already been synced");
  }
  const auto header = schema::Decode<schema::SegmentHeader>(frames.payloads[0]);
  if (!header || header.value().owner != recovered_.self) {
    return ReportDamage(
        path, "log file has no valid header or belongs to another replica");
  }
  base_ = header.value().snapshot;
  if (base_ > recovered_.persistent_state.snapshot.meta.index) {
    return ReportDamage(path, "log file continues a snapshot that is missing");
  }
  for (std::size_t i = 1; i < frames.payloads.size(); ++i) {
    if (auto error = Replay(frames.payloads[i])) return error;
  }
  position_ = {number, frames.valid_end, false};
  recovered_.discarded_bytes = bytes.value().size() - frames.valid_end;
  if (recovered_.discarded_bytes == 0) return {};
  const auto file = File::Open(path, false);
  return file ? file.value().Truncate(frames.valid_end) : file.error();
}

std::error_code Recovery::Replay(const std::string& payload) {
  auto decoded = schema::Decode<schema::LogRecord>(payload);
  auto& entries = recovered_.persistent_state.entries;
  const bool is_contiguous =
      decoded && decoded.value().first > base_ &&
      decoded.value().first <= base_ + entries.size() + 1;
  if (!is_contiguous) {
    return ReportDamage(
        files_.segments.rbegin()->second,
        "log file contains a record that is invalid or does not continue the "
        "entries before it");
  }
  schema::LogRecord& record = decoded.value();
  recovered_.persistent_state.term = record.term;
  recovered_.persistent_state.vote = std::move(record.vote);
  entries.resize(record.first - base_ - 1);
  std::move(record.entries.begin(), record.entries.end(),
            std::back_inserter(entries));
  return {};
}

void Recovery::DropCoveredEntries() {
  const schema::SnapshotMeta& meta = recovered_.persistent_state.snapshot.meta;
  auto& entries = recovered_.persistent_state.entries;
  if (meta.index == base_) return;
  // The process ended after it saved the snapshot and before it started the
  // segment that continues it.
  position_.needs_new_segment = true;
  const std::uint64_t covered = meta.index - base_;
  const bool continues =
      entries.size() >= covered && entries[covered - 1].term == meta.term;
  const std::uint64_t dropped = continues ? covered : entries.size();
  entries.erase(entries.begin(),
                entries.begin() + static_cast<std::ptrdiff_t>(dropped));
}

std::error_code Recovery::ReportDamage(const std::filesystem::path& file,
                                       const std::string& reason) {
  findings_.push_back(
      {file.string(), 0, "",
       reason +
           "; the data of this host cannot be trusted. To rejoin as a new "
           "member, delete the data folder " +
           folder_.string() +
           " and start foxquayd again: the host joins with a new incarnation "
           "and gets the state from the other replicas"});
  return make_error_code(core::Error::kCorrupt);
}

}  // namespace foxquay::storage::internal
