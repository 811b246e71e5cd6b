#include "foxquay/metrics/registry.h"

#include <algorithm>
#include <boost/histogram/algorithm/sum.hpp>
#include <sstream>

namespace foxquay::metrics {
namespace {

constexpr std::array<std::string_view, kSeriesCount> kSeriesNames{
    "foxquay_wait_seconds", "foxquay_first_token_seconds",
    "foxquay_between_tokens_seconds", "foxquay_total_seconds"};

constexpr auto kTotalIndex = static_cast<std::size_t>(Series::kTotal);

const core::WorkspaceId& OtherWorkspace() {
  static const core::WorkspaceId kOther("other");
  return kOther;
}

std::string EscapeLabelValue(std::string_view text) {
  std::string escaped;
  for (const char byte : text) {
    if (byte == '"' || byte == '\\') escaped += '\\';
    escaped += byte == '\n' ? ' ' : byte;
  }
  return escaped;
}

std::string FormatNumber(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return std::move(out).str();
}

std::string SeriesName(std::string_view name, std::string_view labels) {
  std::string key(name);
  if (!labels.empty()) key += "{" + std::string(labels) + "}";
  return key;
}

}  // namespace

Registry::Distribution::Distribution()
    : histogram(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<std::uint32_t>(),
          Axis({0.0, 0.001, 0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.25, 0.54,
                1.0, 2.5, 5.0, 10.0, 60.0}))) {}

void Registry::Distribution::Merge(const Distribution& other) {
  histogram += other.histogram;
  sum_seconds += other.sum_seconds;
  count += other.count;
}

void Registry::Record(Series series, const core::WorkspaceId& workspace,
                      core::TrafficClass traffic_class,
                      core::Duration duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  const std::scoped_lock lock(mutex_);
  Key key{workspace, traffic_class};
  auto found = distributions_.find(key);
  if (found == distributions_.end()) {
    const bool full = distributions_.size() >= 2 * kMaxWorkspaces;
    if (full) key.first = OtherWorkspace();
    found = distributions_.try_emplace(key).first;
  }
  Distribution& distribution = found->second[static_cast<std::size_t>(series)];
  distribution.histogram(seconds);
  distribution.sum_seconds += seconds;
  ++distribution.count;
}

void Registry::Add(std::string_view counter, std::string_view labels,
                   std::uint64_t amount) {
  const std::string key = SeriesName(counter, labels);
  const std::scoped_lock lock(mutex_);
  counters_[key] += amount;
}

void Registry::Set(std::string_view gauge, double value) {
  const std::scoped_lock lock(mutex_);
  gauges_[std::string(gauge)] = value;
}

void Registry::AppendHistograms(std::string& out, const Key& key,
                                const Distributions& distributions) {
  const std::string labels =
      "workspace=\"" + EscapeLabelValue(key.first.value()) + "\",class=\"" +
      std::string(core::Name(key.second)) + "\"";
  for (std::size_t index = 0; index < kSeriesCount; ++index) {
    const Distribution& distribution = distributions[index];
    if (distribution.count == 0) continue;
    const std::string name(kSeriesNames[index]);
    const Axis& axis = distribution.histogram.axis();
    std::uint64_t cumulative = distribution.histogram.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
      cumulative += distribution.histogram.at(bin);
      out += name + "_bucket{" + labels + ",le=\"" +
             FormatNumber(axis.bin(bin).upper()) + "\"} " +
             std::to_string(cumulative) + "\n";
    }
    out += name + "_bucket{" + labels + ",le=\"+Inf\"} " +
           std::to_string(distribution.count) + "\n";
    out += name + "_sum{" + labels + "} " +
           FormatNumber(distribution.sum_seconds) + "\n";
    out += name + "_count{" + labels + "} " +
           std::to_string(distribution.count) + "\n";
  }
}

std::string Registry::Expose() const {
  const std::scoped_lock lock(mutex_);
  std::vector<decltype(distributions_)::const_iterator> busiest;
  for (auto entry = distributions_.begin(); entry != distributions_.end();
       ++entry) {
    busiest.push_back(entry);
  }
  std::stable_sort(busiest.begin(), busiest.end(), [](auto left, auto right) {
    return left->second[kTotalIndex].count > right->second[kTotalIndex].count;
  });
  std::string out;
  for (const std::string_view name : kSeriesNames) {
    out += "# TYPE " + std::string(name) + " histogram\n";
  }
  std::map<core::TrafficClass, Distributions> rest;
  for (std::size_t index = 0; index < busiest.size(); ++index) {
    const auto& [key, distributions] = *busiest[index];
    if (index < 2 * kExposedWorkspaces && key.first != OtherWorkspace()) {
      AppendHistograms(out, key, distributions);
      continue;
    }
    Distributions& sums = rest[key.second];
    for (std::size_t series = 0; series < kSeriesCount; ++series) {
      sums[series].Merge(distributions[series]);
    }
  }
  for (const auto& [traffic_class, sums] : rest) {
    AppendHistograms(out, {OtherWorkspace(), traffic_class}, sums);
  }
  for (const auto& [name, value] : counters_) {
    out += name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, value] : gauges_) {
    out += name + " " + FormatNumber(value) + "\n";
  }
  return out;
}

std::string Registry::Expose(const core::WorkspaceId& workspace) const {
  const std::scoped_lock lock(mutex_);
  std::string out;
  for (const auto traffic_class :
       {core::TrafficClass::kInteractive, core::TrafficClass::kBatch}) {
    const auto found = distributions_.find({workspace, traffic_class});
    if (found != distributions_.end()) {
      AppendHistograms(out, found->first, found->second);
    }
  }
  return out;
}

}  // namespace foxquay::metrics
