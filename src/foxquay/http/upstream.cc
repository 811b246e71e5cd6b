#include "foxquay/http/upstream.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "foxquay/http/endpoint.h"

namespace foxquay::http {
namespace internal {

using Json = nlohmann::json;

constexpr std::size_t kMaxTextBytes = 128;
constexpr std::size_t kMaxListItems = 64;
constexpr std::uint32_t kMaxLayers = 100000;

/// Parses the keys of an announcement and keeps the first problem found.
/// A missing key reads as zero, false or empty.
class AnnouncementReader {
 public:
  explicit AnnouncementReader(const Json& body) : body_(body) {}

  std::string Text(const std::string& key) {
    const Json* value = Find(key);
    if (value == nullptr) return "";
    if (!value->is_string() ||
        value->get_ref<const std::string&>().size() > kMaxTextBytes) {
      Report(key, "expected a string of at most 128 bytes");
      return "";
    }
    return value->get<std::string>();
  }

  std::uint64_t Number(const std::string& key, std::uint64_t max) {
    const Json* value = Find(key);
    return value == nullptr ? 0 : ToNumber(*value, key, max);
  }

  bool Flag(const std::string& key) {
    const Json* value = Find(key);
    if (value == nullptr) return false;
    if (value->is_boolean()) return value->get<bool>();
    Report(key, "expected true or false");
    return false;
  }

  std::vector<std::string> Texts(const std::string& key) {
    std::vector<std::string> texts;
    const Json* value = Find(key);
    if (value == nullptr) return texts;
    if (!value->is_array() || value->size() > kMaxListItems) {
      Report(key, "expected a list of at most 64 strings");
      return texts;
    }
    for (const Json& item : *value) {
      if (!item.is_string() ||
          item.get_ref<const std::string&>().size() > kMaxTextBytes) {
        Report(key, "expected strings of at most 128 bytes");
        return texts;
      }
      texts.push_back(item.get<std::string>());
    }
    return texts;
  }

  schema::LayerRange Layers(const std::string& key) {
    schema::LayerRange range;
    const Json* value = Find(key);
    if (value == nullptr) return range;
    if (!value->is_object() || !value->contains("first") ||
        !value->contains("last")) {
      Report(key, "expected an object with first and last");
      return range;
    }
    range.first = static_cast<std::uint32_t>(
        ToNumber((*value)["first"], key, kMaxLayers));
    range.last =
        static_cast<std::uint32_t>(ToNumber((*value)["last"], key, kMaxLayers));
    return range;
  }

  void Report(std::string field, std::string message) {
    if (!problem_) {
      problem_ = Problem{400, std::move(field), std::move(message)};
    }
  }

  [[nodiscard]] const std::optional<Problem>& problem() const noexcept {
    return problem_;
  }

 private:
  const Json* Find(const std::string& key) {
    const auto found = body_.find(key);
    return found == body_.end() || found->is_null() ? nullptr : &*found;
  }

  std::uint64_t ToNumber(const Json& value, const std::string& key,
                         std::uint64_t max) {
    if (value.is_number_unsigned() && value.get<std::uint64_t>() <= max) {
      return value.get<std::uint64_t>();
    }
    Report(key, "expected a whole number from 0 to " + std::to_string(max));
    return 0;
  }

  const Json& body_;
  std::optional<Problem> problem_;
};

void Validate(const schema::Announcement& announcement,
              AnnouncementReader& reader) {
  if (!ParseEndpoint(announcement.address)) {
    reader.Report("address", "expected IP:PORT");
  }
  if (announcement.kind == "service") {
    if (announcement.service.empty()) reader.Report("service", "required");
    return;
  }
  if (announcement.kind != "model") {
    reader.Report("kind", "expected model or service");
  }
  if (announcement.model.empty()) reader.Report("model", "required");
  if (announcement.model_layers == 0) reader.Report("model_layers", "required");
  if (announcement.layers.first > announcement.layers.last ||
      announcement.layers.last >= announcement.model_layers) {
    reader.Report("layers", "expected first <= last < model_layers");
  }
}

}  // namespace internal

std::variant<schema::Announcement, Problem> ReadAnnouncement(
    const Incoming& incoming) {
  if (incoming.too_large) {
    return Problem{413, "body", "exceeds the size limit of this host"};
  }
  const internal::Json body = internal::Json::parse(incoming.body, nullptr,
                                                    /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return Problem{400, "body", "expected a JSON object"};
  }
  internal::AnnouncementReader reader(body);
  schema::Announcement announcement;
  announcement.id = core::UpstreamId(incoming.Parameter("id").value_or(""));
  if (announcement.id.empty() ||
      announcement.id.value().size() > internal::kMaxTextBytes) {
    return Problem{400, "id", "expected 1 to 128 characters"};
  }
  announcement.sequence = reader.Number("sequence", UINT64_MAX);
  announcement.address = reader.Text("address");
  announcement.data_centre = core::DataCentreId(reader.Text("data_centre"));
  announcement.kind = reader.Text("kind");
  announcement.service = core::ServiceId(reader.Text("service"));
  announcement.accelerator = reader.Text("accelerator");
  announcement.model = core::ModelId(reader.Text("model"));
  announcement.layers = reader.Layers("layers");
  announcement.model_layers = static_cast<std::uint32_t>(
      reader.Number("model_layers", internal::kMaxLayers));
  announcement.adapters = reader.Texts("adapters");
  announcement.versions = reader.Texts("versions");
  announcement.slots =
      static_cast<std::uint32_t>(reader.Number("slots", UINT32_MAX));
  announcement.checks_fencing = reader.Flag("checks_fencing");
  announcement.load =
      static_cast<std::uint32_t>(reader.Number("load", UINT32_MAX));
  announcement.leaving = reader.Flag("leaving");
  internal::Validate(announcement, reader);
  if (reader.problem()) return *reader.problem();
  return announcement;
}

}  // namespace foxquay::http
