// Coordinates this process with the other processes of this dispatcher that run during an upgrade: counts
// them, divides the connection limits among them, and keeps one ban list for all of them. Off if the
// configuration has no `mgmt`, if the kernel chooses the clients' port, or if TMPDIR is not set; this process
// then acts as the only one.
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <utility>

#include "daemon/components.h"
#include "log/log.h"
#include "net/endpoint.h"
#include "net/timer.h"
#include "upgrade/job_id_locks.h"
#include "upgrade/process_group.h"

namespace aldersill {
namespace {

// The interval of the checks for changes by other processes, and so the maximum time until a ban that was set
// through another process takes effect in this one.
constexpr Micros kCheckInterval = 100 * kMillisecond;
constexpr std::uint64_t kNanosecondsPerMicrosecond = 1'000;

// Returns the directory that the processes of one dispatcher share; nothing if this process shares none.
std::optional<std::string> SharedDirectory(const Config& config) {
  const char* root = std::getenv("TMPDIR");
  if (!config.mgmt || config.listen.port == 0 || root == nullptr || *root == '\0')
    return std::nullopt;
  return std::string(root) + "/aldersill-" + ToText(config.listen);
}

class UpgradeComponent : public Component {
 public:
  explicit UpgradeComponent(const ComponentContext& context)
      : context_(context), check_timer_(context.base, [this] { CheckGroup(); }) {}

  void Start(const Config& config) override {
    Register();
    const std::optional<std::string> directory = SharedDirectory(config);
    if (!directory)
      return;
    try {
      group_.emplace(*directory, static_cast<std::uint64_t>(context_.now()) * kNanosecondsPerMicrosecond);
      job_id_locks_.emplace(*directory);
    } catch (const std::runtime_error& error) {
      group_.reset();
      return Log(LogLevel::kWarning, "process_group_unavailable", {{"why", error.what()}});
    }
    AdoptSharedBans();
    check_timer_.Set(kCheckInterval);
  }

 private:
  void Register() {
    ProcessGroupServices& services = context_.registry->process_group;
    services.others = [this] { return group_ ? group_->Others() : upgrade::OtherProcesses{}; };
    services.others_listening = [this] {
      return group_ ? group_->OthersListening() : upgrade::OtherProcesses{};
    };
    services.set_listening = [this](bool listening) {
      if (group_)
        group_->SetListening(listening);
    };
    services.own_transfer_socket = [this] { return group_ ? group_->OwnSocket() : std::string(); };
    services.peer_transfer_socket = [this] {
      return group_ ? group_->NewestListeningSocket() : std::string();
    };
    services.lock_job_id = [this](const std::string& id, upgrade::JobIdLocks::Mode mode) {
      return !job_id_locks_ || job_id_locks_->Lock(id, mode);
    };
    services.unlock_job_id = [this](const std::string& id) {
      if (job_id_locks_)
        job_id_locks_->Unlock(id);
    };
    services.set_ban = [this](const std::string& worker, bool banned) { SetBan(worker, banned); };
  }

  // Adopts changed bans and updates the number of processes.
  void CheckGroup() {
    check_timer_.Set(kCheckInterval);
    // The death of a killed process does not change the directory, so the other processes are counted at
    // every check as long as there are any.
    if (!group_->Changed() && other_processes_ == 0)
      return;
    if (group_->BansChanged())
      AdoptSharedBans();
    UpdateProcessCount();
  }

  // Counts the other processes. If their number has changed, divides the connection limits again.
  void UpdateProcessCount() {
    const int others = group_->Others().count();
    const bool changed = std::exchange(other_processes_, others) != others;
    if (changed && context_.registry->set_process_count)
      context_.registry->set_process_count(1 + others);
  }

  // Puts the bans of the shared list into effect. Keeps the current bans if the list is unreadable.
  void AdoptSharedBans() {
    const std::optional<upgrade::BanList> bans = group_->ReadBans();
    if (!bans)
      return Log(LogLevel::kWarning, "ban_list_unreadable", {{"effect", "the current bans are kept"}});
    PostChangesTo(*bans);
  }

  // Posts the differences between the current bans and `bans` to the core.
  void PostChangesTo(const upgrade::BanList& bans) {
    const upgrade::BanList before = context_.reducer->banned();
    for (const std::string& worker : bans) {
      if (!before.contains(worker))
        context_.sink->Post(WorkerBanned{worker, true});
    }
    for (const std::string& worker : before) {
      if (!bans.contains(worker))
        context_.sink->Post(WorkerBanned{worker, false});
    }
  }

  // A ban that cannot be shared with the other processes still takes effect in this one.
  void SetBan(const std::string& worker, bool banned) {
    if (!group_)
      return context_.sink->Post(WorkerBanned{worker, banned});
    try {
      PostChangesTo(group_->ChangeBans([&](upgrade::BanList* bans) {
        if (banned)
          bans->insert(worker);
        else
          bans->erase(worker);
      }));
    } catch (const std::runtime_error& error) {
      Log(LogLevel::kWarning, "ban_list_write_failed", {{"worker", worker}, {"why", error.what()}});
      context_.sink->Post(WorkerBanned{worker, banned});
    }
  }

  const ComponentContext context_;
  std::optional<upgrade::ProcessGroup> group_;       // none if this process acts as the only one
  std::optional<upgrade::JobIdLocks> job_id_locks_;  // none if this process acts as the only one
  Timer check_timer_;
  int other_processes_ = 0;  // number of other processes at the last check
};

}  // namespace

std::unique_ptr<Component> MakeUpgradeComponent(const ComponentContext& context) {
  return std::make_unique<UpgradeComponent>(context);
}

}  // namespace aldersill
