// What this process shares with another of the same dispatcher, started for an upgrade: bans, and that it is
// there. Off where operators cannot call, or clients come to a port of the kernel's choice.
#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <string>
#include <utility>

#include "daemon/components.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "upgrade/process_group.h"

namespace aldersill {
namespace {

// A ban that the other process was told binds this one as well, from the answer on.
constexpr Micros kLookEvery = 100 * kMillisecond;

class UpgradeComponent : public Component {
 public:
  explicit UpgradeComponent(const ComponentContext& context)
      : context_(context), look_(context.base, [this] { Look(); }) {}

  void Start(const Config& c) override {
    ComponentRegistry& registry = *context_.registry;
    registry.other_processes = [this] { return folder_ ? folder_->Others() : upgrade::OtherProcesses{}; };
    registry.processes_listening = [this] {
      return folder_ ? folder_->OthersListening() : upgrade::OtherProcesses{};
    };
    registry.set_listening = [this](bool listens) {
      if (folder_)
        folder_->SetListening(listens);
    };
    registry.own_job_socket = [this] { return folder_ ? folder_->OwnSocket() : std::string(); };
    registry.other_job_socket = [this] { return folder_ ? folder_->NewestListeningSocket() : std::string(); };
    registry.keep_ban = [this](const std::string& worker, bool banned) { Keep(worker, banned); };
    const char* root = std::getenv("TMPDIR");
    if (!c.mgmt || c.listen.port == 0 || root == nullptr || *root == '\0')
      return;
    try {
      folder_.emplace(std::string(root) + "/aldersill-" + ToText(c.listen),
                      static_cast<std::uint64_t>(context_.now()) * 1'000);
    } catch (const std::runtime_error& e) {
      return Log(LogLevel::kWarning, "upgrade_unshared", {{"why", e.what()}});
    }
    TakeOver();
    look_.Set(kLookEvery);
  }

 private:
  void Look() {
    look_.Set(kLookEvery);
    // One that was killed changes nothing in the folder: those that are there are counted until they are
    // gone.
    if (!folder_->Changed() && others_ == 0)
      return;
    if (folder_->BansChanged())
      TakeOver();
    const int others = folder_->Others().count();
    if (std::exchange(others_, others) != others && context_.registry->share_descriptors)
      context_.registry->share_descriptors(1 + others);
  }

  void TakeOver() {
    const std::optional<upgrade::BanList> bans = folder_->ReadBans();
    if (!bans)
      return Log(LogLevel::kWarning, "bans_unreadable", {{"effect", "those in force stay"}});
    Apply(*bans);
  }

  void Apply(const upgrade::BanList& bans) {
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

  void Keep(const std::string& worker, bool banned) {
    if (!folder_)
      return context_.sink->Post(WorkerBanned{worker, banned});
    try {
      Apply(folder_->ChangeBans([&](upgrade::BanList* bans) {
        if (banned)
          bans->insert(worker);
        else
          bans->erase(worker);
      }));
    } catch (const std::runtime_error& e) {
      Log(LogLevel::kWarning, "ban_unshared", {{"worker", worker}, {"why", e.what()}});
      context_.sink->Post(WorkerBanned{worker, banned});
    }
  }

  const ComponentContext context_;
  std::optional<upgrade::ProcessGroup> folder_;
  Timer look_;
  int others_ = 0;
};

}  // namespace

std::unique_ptr<Component> MakeUpgradeComponent(const ComponentContext& context) {
  return std::make_unique<UpgradeComponent>(context);
}

}  // namespace aldersill
