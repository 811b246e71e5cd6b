#ifndef FOXQUAY_SETTINGS_READER_H_
#define FOXQUAY_SETTINGS_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foxquay/core/finding.h"
#include "foxquay/core/id.h"
#include "foxquay/core/time.h"
#include "foxquay/schema/settings.h"
#include "foxquay/settings/fwd.h"

namespace foxquay::settings::internal {

/// Whether a key must be present.
enum class Presence { kRequired, kOptional };

/// Reads one YAML node and records findings with file, line and key path.
///
/// Each Read function adds a finding if the node has the wrong form.
class Reader {
 public:
  /// `path` is the key path of the node; `findings` must outlive the reader.
  Reader(const YAML::Node& node, std::string file, std::string path,
         core::Findings& findings);

  /// Reads an `IP:PORT` address, with brackets around an IPv6 address.
  void ReadAddress(std::string& value);
  /// Reads a network in CIDR notation, such as `10.0.0.0/8`.
  void ReadNetwork(std::string& value);
  void ReadPath(std::string& value);
  void ReadString(std::string& value);
  /// Reads a number followed by `ms` or `s`, such as `2.5s`.
  void ReadDuration(core::Duration& value);
  void ReadBool(bool& value);
  /// Reads a non-negative decimal number.
  void ReadReal(double& value);

  template <class Number>
  void ReadNumber(Number& value) {
    std::uint64_t number = 0;
    if (ReadUnsigned(number, std::numeric_limits<Number>::max())) {
      value = static_cast<Number>(number);
    }
  }

  template <class Enum>
  void ReadName(Enum& value,
                std::initializer_list<std::pair<std::string_view, Enum>> names);

  template <class Element, class Read>
  void ReadList(std::vector<Element>& value, Read read);

  /// Returns a reader for a child of this node; `name` is a key, or an index
  /// such as `[0]`.
  [[nodiscard]] Reader Child(const YAML::Node& node, const std::string& name);

  /// Adds a finding at this node.
  void Add(std::string message);
  [[nodiscard]] const YAML::Node& node() const noexcept { return node_; }

 private:
  bool ReadScalar(std::string& value, std::string_view expected);
  bool ReadUnsigned(std::uint64_t& value, std::uint64_t max);

  YAML::Node node_;
  std::string file_;
  std::string path_;
  core::Findings& findings_;
};

/// Reads the keys of a map; reports unknown, duplicate and missing ones.
class Section {
 public:
  Section(Reader& reader, std::initializer_list<std::string_view> keys);

  /// Calls `read` with the value of a key if it is present; reports a missing
  /// required key.
  void Field(const std::string& name, Presence presence,
             const std::function<void(Reader&)>& read);

 private:
  Reader& reader_;
};

template <class Tag>
void Read(Reader& reader, core::StringId<Tag>& value) {
  std::string text;
  reader.ReadString(text);
  value = core::StringId<Tag>(std::move(text));
}

inline void Read(Reader& reader, bool& value) { reader.ReadBool(value); }

void Read(Reader& reader, schema::Settings& value);

template <class Enum>
void Reader::ReadName(
    Enum& value,
    std::initializer_list<std::pair<std::string_view, Enum>> names) {
  std::string text;
  if (!ReadScalar(text, "a name")) return;
  std::string known;
  for (const auto& [name, candidate] : names) {
    if (name == text) {
      value = candidate;
      return;
    }
    known += (known.empty() ? "" : ", ") + std::string(name);
  }
  Add("unknown value '" + text + "'; expected one of: " + known);
}

template <class Element, class Read>
void Reader::ReadList(std::vector<Element>& value, Read read) {
  if (node_.IsNull()) return;
  if (!node_.IsSequence()) {
    Add("expected a list");
    return;
  }
  for (std::size_t index = 0; index < node_.size(); ++index) {
    Reader item = Child(node_[index], "[" + std::to_string(index) + "]");
    read(item, value.emplace_back());
  }
}

}  // namespace foxquay::settings::internal

#endif  // FOXQUAY_SETTINGS_READER_H_
