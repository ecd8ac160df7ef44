// The management address (`mgmt`), at which operators query health and metrics and set bans. Each connection
// carries one command. Off if the configuration has no `mgmt`.
#include <optional>
#include <utility>

#include "admin/command.h"
#include "admin/figures.h"
#include "daemon/components.h"
#include "daemon/descriptor_shares.h"
#include "daemon/listener_log.h"
#include "log/log.h"
#include "net/event_ptr.h"
#include "net/line_server.h"
#include "net/listener.h"

namespace aldersill {
namespace {

// Some callers connect and do not complete a command for 4 s. Other callers must be answered in the meantime.
constexpr LineServer::Limits kLimits{kMaxAdminConnections, 512, 6 * kSecond};

class AdminComponent : public Component {
 public:
  explicit AdminComponent(const ComponentContext& context)
      : context_(context),
        server_(context.base, kLimits, [this](const std::string& line) { return Execute(line); }) {}

  void Start(const Config& config) override {
    PrepareReload(config);
    ApplyReload(config);
  }

  void OnAllStarted() override {
    if (!address_)
      return;
    const int port = LocalPort(evconnlistener_get_fd(const_cast<evconnlistener*>(server_.listener())));
    LogListener("mgmt", address_->host, port);
  }

  void PrepareReload(const Config& next) override {
    if (next.mgmt && next.mgmt != address_)
      prepared_listener_ = OpenListener(context_.base, *next.mgmt, "mgmt", server_.accept_callback());
  }
  void CancelReload() override { prepared_listener_.reset(); }
  void ApplyReload(const Config& config) override {
    if (config.mgmt == address_)
      return;
    address_ = config.mgmt;
    server_.Listen(std::move(prepared_listener_));
  }

 private:
  // Returns the answer to one line from a caller, with its line ends.
  std::string Execute(const std::string& line) {
    return std::visit([this](const auto& command) { return Apply(command); }, admin::ParseCommand(line));
  }

  std::string Apply(const admin::Health& /*health*/) const {
    const auto& readiness_failure = context_.registry->operators.readiness_failure;
    const std::string failure = readiness_failure ? readiness_failure() : "";
    return failure.empty() ? "OK takes clients\n" : "ERR " + failure + "\n";
  }
  std::string Apply(const admin::Dump& /*dump*/) const {
    return admin::EncodeMetrics(context_.reducer->counters(), context_.reducer->AvoidedWorkers()) + "END\n";
  }
  std::string Apply(const admin::Offline& command) const { return SetBan(command.worker, true); }
  std::string Apply(const admin::Online& command) const { return SetBan(command.worker, false); }
  std::string Apply(const admin::BadCommand& command) const { return "ERR " + command.reason + "\n"; }

  // Bans a worker or lifts its ban, in all processes of this dispatcher, and returns the answer for the
  // operator.
  std::string SetBan(const std::string& worker, bool banned) const {
    if (!context_.reducer->IsKnownWorker(worker))
      return "ERR " + worker + " has never been in the worker list of this dispatcher\n";
    context_.registry->process_group.set_ban(worker, banned);
    Log(LogLevel::kInfo, banned ? "worker_offline" : "worker_online", {{"worker", worker}});
    return "OK " + worker + (banned ? " is left out until ONLINE\n" : " is put back\n");
  }

  const ComponentContext context_;
  LineServer server_;
  std::optional<Endpoint> address_;
  EventPtr<evconnlistener> prepared_listener_;  // set between PrepareReload and ApplyReload
};

}  // namespace

std::unique_ptr<Component> MakeAdminComponent(const ComponentContext& context) {
  return std::make_unique<AdminComponent>(context);
}

}  // namespace aldersill
