// The operators' address: whether this process takes clients, its figures, and bans. Off without `mgmt`.
#include <optional>

#include "admin/command.h"
#include "admin/figures.h"
#include "daemon/components.h"
#include "log/log.h"
#include "net/line_server.h"

namespace aldersill {
namespace {

// A few callers connect and finish no call for 4 s; those that do are answered beside them.
constexpr LineServer::Limits kLimits{kAdminConnections, 512, 6 * kSecond};

class AdminComponent : public Component {
 public:
  explicit AdminComponent(const ComponentContext& context)
      : context_(context), server_(context.base, kLimits, [this](const std::string& line) {
          return std::visit([this](const auto& command) { return On(command); }, admin::ParseCommand(line));
        }) {}

  void Start(const Config& c) override {
    PrepareReload(c);
    ApplyReload(c);
  }
  void OnAllStarted() override {
    if (!address_)
      return;
    const int port = PortOf(evconnlistener_get_fd(const_cast<evconnlistener*>(server_.listener())));
    Log(LogLevel::kInfo, "door",
        {{"name", "mgmt"}, {"address", address_->host + ":" + std::to_string(port)}});
  }
  void PrepareReload(const Config& next) override {
    if (next.mgmt && next.mgmt != address_)
      opened_ = ListenOn(context_.base, *next.mgmt, "mgmt", &LineServer::OnAccept, &server_);
  }
  void CancelReload() override { opened_.reset(); }
  void ApplyReload(const Config& c) override {
    if (c.mgmt == address_)
      return;
    address_ = c.mgmt;
    server_.Listen(std::move(opened_));
  }

 private:
  std::string On(const admin::Health&) {
    const std::string why_not = context_.registry->why_not_ready ? context_.registry->why_not_ready() : "";
    return why_not.empty() ? "OK takes clients\n" : "ERR " + why_not + "\n";
  }
  std::string On(const admin::Dump&) {
    return admin::EncodeFigures(context_.reducer->counters(), context_.reducer->AvoidedWorkers()) + "END\n";
  }
  std::string On(const admin::Offline& call) { return Ban(call.worker, true); }
  std::string On(const admin::Online& call) { return Ban(call.worker, false); }
  std::string On(const admin::BadCommand& call) { return "ERR " + call.why + "\n"; }

  std::string Ban(const std::string& worker, bool banned) {
    if (!context_.reducer->EverListed(worker))
      return "ERR " + worker + " has never been in the worker list of this dispatcher\n";
    context_.registry->keep_ban(worker, banned);
    Log(LogLevel::kInfo, banned ? "worker_offline" : "worker_online", {{"worker", worker}});
    return "OK " + worker + (banned ? " is left out until ONLINE\n" : " is put back\n");
  }

  const ComponentContext context_;
  LineServer server_;
  std::optional<Endpoint> address_;
  EventPtr<evconnlistener> opened_;  // for a configuration that is not yet taken over
};

}  // namespace

std::unique_ptr<Component> MakeAdminComponent(const ComponentContext& context) {
  return std::make_unique<AdminComponent>(context);
}

}  // namespace aldersill
