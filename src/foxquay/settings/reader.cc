#include "foxquay/settings/reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <charconv>
#include <set>

namespace foxquay::settings::internal {
namespace {

/// Largest number in a duration; as seconds it still fits into 64 bits of
/// nanoseconds.
constexpr double kMaxDurationNumber = 4294967295.0;

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size() && port > 0;
}

bool IsAddress(std::string text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  text.resize(colon);
  const bool bracketed =
      text.size() > 2 && text.front() == '[' && text.back() == ']';
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(
      bracketed ? text.substr(1, text.size() - 2) : text, error);
  return !error && address.is_v6() == bracketed;
}

bool IsNetwork(const std::string& text) {
  boost::system::error_code error_v4;
  boost::system::error_code error_v6;
  boost::asio::ip::make_network_v4(text, error_v4);
  boost::asio::ip::make_network_v6(text, error_v6);
  return !error_v4 || !error_v6;
}

}  // namespace

Reader::Reader(const YAML::Node& node, std::string file, std::string path,
               core::Findings& findings)
    : node_(node),
      file_(std::move(file)),
      path_(std::move(path)),
      findings_(findings) {}

void Reader::Add(std::string message) {
  findings_.push_back(
      {file_, node_.Mark().line + 1, path_, std::move(message)});
}

Reader Reader::Child(const YAML::Node& node, const std::string& name) {
  const bool index = name.starts_with('[');
  const std::string separator = path_.empty() || index ? "" : ".";
  return {node, file_, path_ + separator + name, findings_};
}

bool Reader::ReadScalar(std::string& value, std::string_view expected) {
  if (!node_.IsScalar() || node_.Scalar().empty()) {
    Add("expected " + std::string(expected));
    return false;
  }
  value = node_.Scalar();
  return true;
}

bool Reader::ReadUnsigned(std::uint64_t& value, std::uint64_t max) {
  std::string text;
  if (!ReadScalar(text, "a whole number")) return false;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool parsed =
      error == std::errc() && end == text.data() + text.size() && value <= max;
  if (!parsed) {
    Add("expected a whole number from 0 to " + std::to_string(max) + ", not '" +
        text + "'");
  }
  return parsed;
}

void Reader::ReadReal(double& value) {
  std::string text;
  if (!ReadScalar(text, "a number")) return;
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < 0) {
    Add("expected a non-negative number, not '" + text + "'");
    return;
  }
  value = number;
}

void Reader::ReadString(std::string& value) { ReadScalar(value, "a string"); }

void Reader::ReadPath(std::string& value) { ReadScalar(value, "a path"); }

void Reader::ReadBool(bool& value) {
  std::string text;
  if (!ReadScalar(text, "true or false")) return;
  value = text == "true";
  if (text != "true" && text != "false") {
    Add("expected true or false, not '" + text + "'");
  }
}

void Reader::ReadAddress(std::string& value) {
  if (!ReadScalar(value, "an address IP:PORT")) return;
  if (!IsAddress(value)) {
    Add("expected an address IP:PORT, not '" + value + "'");
  }
}

void Reader::ReadNetwork(std::string& value) {
  if (!ReadScalar(value, "a network IP/PREFIX")) return;
  if (!IsNetwork(value)) {
    Add("expected a network IP/PREFIX, not '" + value + "'");
  }
}

void Reader::ReadDuration(core::Duration& value) {
  std::string text;
  if (!ReadScalar(text, "a duration such as 250ms or 10s")) return;
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string_view unit(
      end, static_cast<std::size_t>(text.data() + text.size() - end));
  const bool valid =
      error == std::errc() && number >= 0 && number <= kMaxDurationNumber;
  const auto convert = [](auto duration) {
    return std::chrono::duration_cast<core::Duration>(duration);
  };
  if (valid && unit == "ms") {
    value = convert(std::chrono::duration<double, std::milli>(number));
  } else if (valid && unit == "s") {
    value = convert(std::chrono::duration<double>(number));
  } else {
    Add("expected a duration such as 250ms or 10s, not '" + text + "'");
  }
}

Section::Section(Reader& reader, std::initializer_list<std::string_view> keys)
    : reader_(reader) {
  if (!reader.node().IsMap()) {
    reader.Add("expected a map");
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : reader.node()) {
    const auto name = entry.first.as<std::string>("");
    Reader key = reader.Child(entry.first, name);
    if (std::find(keys.begin(), keys.end(), name) == keys.end()) {
      key.Add("unknown key");
    } else if (!seen.insert(name).second) {
      key.Add("duplicate key");
    }
  }
}

void Section::Field(const std::string& name, Presence presence,
                    const std::function<void(Reader&)>& read) {
  if (!reader_.node().IsMap()) return;
  const YAML::Node node = reader_.node()[name];
  if (node.IsDefined()) {
    Reader child = reader_.Child(node, name);
    read(child);
  } else if (presence == Presence::kRequired) {
    reader_.Add("missing required key '" + name + "'");
  }
}

}  // namespace foxquay::settings::internal
