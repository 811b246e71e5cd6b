#include <charconv>
#include <iostream>
#include <optional>

#include "foxquay_cli/change.h"
#include "foxquay_cli/commands.h"
#include "foxquay_cli/table.h"

namespace foxquay::cli {
namespace internal {

std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    std::cerr << "foxquay: '" << text << "' is not a whole number\n";
    return std::nullopt;
  }
  return number;
}

int Usage(const char* text) {
  std::cerr << "usage: " << text << "\n";
  return kExitUsage;
}

int SetDefault(const AdminClient& client, const AdminOptions& admin,
               const ChangeOptions& change,
               const std::vector<std::string>& args) {
  const auto value = ParseNumber(args[2]);
  if (!value) return kExitUsage;
  return SendChange(client, admin, change, "PUT",
                    "/admin/v1/defaults/" + args[1], {{"value", *value}});
}

int ShowDefaults(const AdminClient& client, const AdminOptions& admin,
                 const std::vector<std::string>& args) {
  int status = kExitOk;
  auto body = client.Get("/admin/v1/defaults", status);
  if (!body) return status;
  if (args.size() == 2) {
    nlohmann::json kept = nlohmann::json::array();
    for (const nlohmann::json& item : (*body)["defaults"]) {
      if (item.value("key", "") == args[1]) kept.push_back(item);
    }
    if (kept.empty()) {
      std::cerr << "foxquay: no default is named '" << args[1]
                << "'; list them with foxquay defaults get\n";
      return kExitRefused;
    }
    (*body)["defaults"] = kept;
  }
  Print(admin.output, *body, "defaults",
        {"key", "value", "unit", "min", "max"});
  return kExitOk;
}

}  // namespace internal

int Defaults(int argc, const char** argv) {
  AdminOptions admin;
  ChangeOptions change;
  Arguments arguments("get [KEY] | set KEY VALUE");
  admin.AddTo(arguments);
  change.AddTo(arguments);
  const auto args = arguments.Parse(argc, argv);
  if (!args) return kExitUsage;
  const bool get =
      !args->empty() && args->front() == "get" && args->size() <= 2;
  const bool set = args->size() == 3 && args->front() == "set";
  if (!get && !set) {
    return internal::Usage("foxquay defaults get [KEY] | set KEY VALUE");
  }
  const auto client = AdminClient::Open(admin);
  if (!client) return kExitConfig;
  return get ? internal::ShowDefaults(*client, admin, *args)
             : internal::SetDefault(*client, admin, change, *args);
}

int Exceptions(int argc, const char** argv) {
  AdminOptions admin;
  ChangeOptions change;
  std::string reason;
  Arguments arguments("list | add KEY SCOPE OBJECT VALUE | remove ID");
  admin.AddTo(arguments);
  change.AddTo(arguments);
  arguments.AddText("reason", reason, "Reason; required for add and remove");
  const auto args = arguments.Parse(argc, argv);
  if (!args) return kExitUsage;
  const std::string verb = args->empty() ? "" : args->front();
  const bool known = (verb == "list" && args->size() == 1) ||
                     (verb == "add" && args->size() == 5) ||
                     (verb == "remove" && args->size() == 2);
  if (!known) {
    return internal::Usage(
        "foxquay exceptions list | add KEY SCOPE OBJECT VALUE | remove ID");
  }
  const auto client = AdminClient::Open(admin);
  if (!client) return kExitConfig;
  if (verb == "list") {
    int status = kExitOk;
    const auto body = client->Get("/admin/v1/exceptions", status);
    if (!body) return status;
    Print(admin.output, *body, "exceptions",
          {"id", "key", "scope", "object", "value", "author", "reason"});
    return kExitOk;
  }
  if (verb == "remove") {
    return SendChange(*client, admin, change, "DELETE",
                      "/admin/v1/exceptions/" + (*args)[1],
                      {{"reason", reason}});
  }
  const auto value = internal::ParseNumber((*args)[4]);
  if (!value) return kExitUsage;
  return SendChange(*client, admin, change, "POST", "/admin/v1/exceptions",
                    {{"key", (*args)[1]},
                     {"scope", (*args)[2]},
                     {"object", (*args)[3]},
                     {"value", *value},
                     {"reason", reason}});
}

int History(int argc, const char** argv) {
  AdminOptions admin;
  int status = kExitOk;
  const auto client = OpenFromArguments(argc, argv, admin, status);
  if (!client) return status;
  const auto body = client->Get("/admin/v1/history", status);
  if (!body) return status;
  if ((*body)["history"].empty()) {
    std::cerr << "foxquay: no changes recorded on this host; only hosts with a "
                 "control replica keep the history, name one with --admin\n";
  }
  Print(admin.output, *body, "history",
        {"revision", "kind", "author", "change_id", "reason"});
  return kExitOk;
}

int Rollback(int argc, const char** argv) {
  AdminOptions admin;
  ChangeOptions change;
  Arguments arguments("REVISION");
  admin.AddTo(arguments);
  change.AddTo(arguments);
  const auto args = arguments.Parse(argc, argv);
  if (!args) return kExitUsage;
  if (args->size() != 1) return internal::Usage("foxquay rollback REVISION");
  const auto revision = internal::ParseNumber(args->front());
  if (!revision) return kExitUsage;
  const auto client = AdminClient::Open(admin);
  if (!client) return kExitConfig;
  return SendChange(*client, admin, change, "POST", "/admin/v1/rollback",
                    {{"revision", *revision}});
}

}  // namespace foxquay::cli
