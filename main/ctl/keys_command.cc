#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "core/settings.h"
#include "drivers/zap_authenticator.h"
#include "main/ctl/commands.h"

namespace shallot::ctl {
namespace {

constexpr const char* kSection = "keys";

struct ClientKeys {
  std::string name;
  CurveKeyPair pair;
};

/// Makes the section of a listening process; `client` is null when it opens no connections.
IniSection MakeSection(const std::string& name, const CurveKeyPair& server,
                       const std::string& allowed, const CurveKeyPair* client) {
  IniSection section{name, {}};
  section.values = {{"server_secret", server.secret_key}, {"allowed_clients", allowed}};
  if (client == nullptr) return section;
  section.values["server_public"] = server.public_key;
  section.values["client_public"] = client->public_key;
  section.values["client_secret"] = client->secret_key;
  return section;
}

IniDocument MakeDocument(const CurveKeyPair& server, const std::vector<ClientKeys>& clients) {
  std::string allowed;
  for (const ClientKeys& client : clients) {
    allowed += (allowed.empty() ? "" : " ") + client.pair.public_key;
  }
  IniDocument document{"keys", {}};
  if (clients.size() == 1 && clients[0].name.empty()) {
    document.sections.push_back(MakeSection(kSection, server, allowed, &clients[0].pair));
    return document;
  }
  document.sections.push_back(MakeSection(kSection, server, allowed, nullptr));
  for (const ClientKeys& client : clients) {
    const std::string name = std::string(kSection) + " " + client.name;
    document.sections.push_back(MakeSection(name, server, allowed, &client.pair));
  }
  return document;
}

void Print(const CtlOptions& options, const IniDocument& document) {
  if (!options.json) {
    std::cout << FormatIni(document);
    return;
  }
  nlohmann::json body = nlohmann::json::object();
  for (const IniSection& section : document.sections) body[section.name] = section.values;
  std::cout << body.dump() << std::endl;
}

}  // namespace

int RunKeys(const CtlOptions& options) {
  std::set<std::string> names(options.arguments.begin() + 1, options.arguments.end());
  if (names.size() + 1 != options.arguments.size()) return UsageError("a router is named twice");
  // Without names all routers share one key pair.
  if (names.empty()) names.insert("");
  const CurveKeyPair server = MakeCurveKeyPair();
  if (server.public_key.empty()) {
    return Fail(options, Error{ErrorKind::kUnavailable, "this libzmq has no CURVE support",
                               "install a libzmq that was built with libsodium"});
  }
  std::vector<ClientKeys> clients;
  clients.reserve(names.size());
  for (const std::string& name : names) clients.push_back({name, MakeCurveKeyPair()});
  Print(options, MakeDocument(server, clients));
  return kExitOk;
}

}  // namespace shallot::ctl
