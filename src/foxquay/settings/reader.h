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

enum class Presence { kRequired, kOptional };

/// Reads one YAML node and collects findings with their place.
class Reader {
 public:
  Reader(const YAML::Node& node, std::string file, std::string path,
         core::Findings& findings);

  /// Reads an `IP:PORT` address, with brackets around an IPv6 address.
  void ReadAddress(std::string& value);
  /// Reads a network such as `10.0.0.0/8`.
  void ReadNetwork(std::string& value);
  void ReadPath(std::string& value);
  void ReadString(std::string& value);
  /// Reads a number with the unit `ms` or `s`.
  void ReadDuration(core::Duration& value);
  void ReadBool(bool& value);
  /// Reads a decimal number that is not negative.
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

  /// Returns the reader of a key or an index below this node.
  [[nodiscard]] Reader Child(const YAML::Node& node, const std::string& name);

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

/// Reads the keys of a map and reports unknown, repeated and missing ones.
class Section {
 public:
  Section(Reader& reader, std::initializer_list<std::string_view> keys);

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
