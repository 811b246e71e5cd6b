#include "foxquay/control/config.h"

#include <algorithm>

namespace foxquay::control {
namespace internal {

const std::string& ObjectOf(schema::ExceptionScope scope,
                            const Subject& subject) {
  switch (scope) {
    case schema::ExceptionScope::kWorkspace:
      return subject.workspace.value();
    case schema::ExceptionScope::kModel:
      return subject.model.value();
    case schema::ExceptionScope::kUpstream:
      return subject.upstream.value();
    case schema::ExceptionScope::kDataCentre:
      return subject.data_centre.value();
    case schema::ExceptionScope::kHost:
      return subject.host.value();
  }
  static const std::string kNone;
  return kNone;
}

}  // namespace internal

Config::Config() {
  for (const schema::PolicySpec& spec : schema::kPolicySpecs) {
    defaults_.push_back(spec.initial);
  }
}

Config::Config(const schema::ConfigSnapshot& snapshot) : Config() {
  sequence_ = snapshot.sequence;
  revision_ = snapshot.revision;
  const std::size_t known =
      std::min(defaults_.size(), snapshot.defaults.size());
  std::copy_n(snapshot.defaults.begin(), known, defaults_.begin());
  for (const schema::ConfigException& exception : snapshot.exceptions) {
    exceptions_.emplace(exception.id, exception);
  }
  for (const schema::HostRecord& record : snapshot.hosts) {
    hosts_.emplace(record.host, record);
  }
}

bool Config::Apply(const schema::ConfigEntry& entry) {
  if (entry.sequence != sequence_ + 1) return false;
  ApplyEffect(entry);
  return true;
}

void Config::ApplyEffect(const schema::ConfigEntry& entry) {
  sequence_ = entry.sequence;
  revision_ = entry.revision;
  for (const schema::DefaultValue& change : entry.defaults) {
    if (change.key < defaults_.size()) defaults_[change.key] = change.value;
  }
  for (const std::uint64_t id : entry.removed) exceptions_.erase(id);
  for (const schema::ConfigException& exception : entry.added) {
    exceptions_.insert_or_assign(exception.id, exception);
  }
  for (const schema::HostRecord& record : entry.hosts) {
    hosts_.insert_or_assign(record.host, record);
  }
}

schema::ConfigSnapshot Config::Snapshot() const {
  schema::ConfigSnapshot snapshot;
  snapshot.sequence = sequence_;
  snapshot.revision = revision_;
  snapshot.defaults = defaults_;
  for (const auto& [id, exception] : exceptions_) {
    snapshot.exceptions.push_back(exception);
  }
  for (const auto& [host, record] : hosts_) snapshot.hosts.push_back(record);
  return snapshot;
}

std::int64_t Config::Effective(schema::PolicyKey key,
                               const Subject& subject) const {
  const auto index = static_cast<std::uint8_t>(key);
  for (const schema::ExceptionScope scope : kScopeOrder) {
    const std::string& object = internal::ObjectOf(scope, subject);
    if (object.empty()) continue;
    const schema::ConfigException* found = FindException(index, scope, object);
    if (found != nullptr) return found->value;
  }
  return defaults_[index];
}

const schema::ConfigException* Config::FindException(
    std::uint8_t key, schema::ExceptionScope scope,
    const std::string& object) const {
  for (const auto& [id, exception] : exceptions_) {
    if (exception.key == key && exception.scope == scope &&
        exception.object == object) {
      return &exception;
    }
  }
  return nullptr;
}

const schema::HostRecord* Config::FindHost(const core::HostId& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second;
}

bool Config::Live(const core::HostId& host, std::uint64_t incarnation) const {
  const schema::HostRecord* record = FindHost(host);
  return record != nullptr && record->live &&
         record->incarnation == incarnation;
}

}  // namespace foxquay::control
