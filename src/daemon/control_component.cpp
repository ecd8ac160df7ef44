// The control socket, on which the parts' questions are answered. Off without a path.
#include "control/control.h"
#include "daemon/components.h"

namespace aldersill {
namespace {

class ControlComponent : public Component {
 public:
  explicit ControlComponent(const ComponentContext& context) : context_(context) {}

  void Start(const Config& c) override {
    server_ = Make(c);
    path_ = c.own.control.socket;
  }
  void PrepareReload(const Config& next) override {
    if (next.own.control.socket != path_)
      made_ = Make(next);
  }
  void CancelReload() override { made_.reset(); }
  void ApplyReload(const Config& c) override {
    if (c.own.control.socket == path_)
      return;
    path_ = c.own.control.socket;
    server_ = std::move(made_);
  }

 private:
  std::unique_ptr<control::Server> Make(const Config& c) const {
    if (c.own.control.socket.empty())
      return nullptr;
    return std::make_unique<control::Server>(
        context_.base, c.own.control.socket,
        [this](const std::string& question) -> std::optional<std::string> {
          const auto found = context_.registry->questions.find(question);
          if (found == context_.registry->questions.end())
            return std::nullopt;
          return found->second();
        });
  }

  const ComponentContext context_;
  std::string path_;
  std::unique_ptr<control::Server> server_;
  std::unique_ptr<control::Server> made_;  // for a configuration that is not yet taken over
};

}  // namespace

std::unique_ptr<Component> MakeControlComponent(const ComponentContext& context) {
  return std::make_unique<ControlComponent>(context);
}

}  // namespace aldersill
