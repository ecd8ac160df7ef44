// The control socket, on which the parts' questions are answered. Off without a path.
#include "control/control.h"
#include "daemon/parts.h"

namespace aldersill {
namespace {

class ControlPart : public Part {
 public:
  explicit ControlPart(const Surroundings& around) : around_(around) {}

  void Start(const Config& c) override {
    server_ = Make(c);
    path_ = c.own.control.socket;
  }
  void Prepare(const Config& next) override {
    if (next.own.control.socket != path_)
      made_ = Make(next);
  }
  void Abandon() override { made_.reset(); }
  void Adopt(const Config& c) override {
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
        around_.base, c.own.control.socket,
        [this](const std::string& question) -> std::optional<std::string> {
          const auto found = around_.offers->questions.find(question);
          if (found == around_.offers->questions.end())
            return std::nullopt;
          return found->second();
        });
  }

  const Surroundings around_;
  std::string path_;
  std::unique_ptr<control::Server> server_;
  std::unique_ptr<control::Server> made_;  // for a configuration that is not yet taken over
};

}  // namespace

std::unique_ptr<Part> MakeControlPart(const Surroundings& surroundings) {
  return std::make_unique<ControlPart>(surroundings);
}

}  // namespace aldersill
