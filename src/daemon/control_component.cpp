// The control socket, which answers the queries that components register. Off if the configuration has no
// path.
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "control/control.h"
#include "daemon/components.h"

namespace aldersill {
namespace {

class ControlComponent : public Component {
 public:
  explicit ControlComponent(const ComponentContext& context) : context_(context) {}

  void Start(const Config& config) override {
    path_ = config.operator_settings.control.socket;
    server_ = MakeServer(path_);
  }
  void PrepareReload(const Config& next) override {
    if (next.operator_settings.control.socket != path_)
      prepared_server_ = MakeServer(next.operator_settings.control.socket);
  }
  void CancelReload() override { prepared_server_.reset(); }
  void ApplyReload(const Config& config) override {
    if (config.operator_settings.control.socket == path_)
      return;
    path_ = config.operator_settings.control.socket;
    server_ = std::move(prepared_server_);
  }

 private:
  // Returns null if the path is empty.
  std::unique_ptr<control::Server> MakeServer(const std::string& path) const {
    if (path.empty())
      return nullptr;
    return std::make_unique<control::Server>(context_.base, path,
                                             [this](const std::string& query) { return Answer(query); });
  }

  // Returns nothing if no component has registered the query.
  std::optional<std::string> Answer(const std::string& query) const {
    const auto& queries = context_.registry->operators.control_queries;
    const auto found = queries.find(query);
    if (found == queries.end())
      return std::nullopt;
    return found->second();
  }

  const ComponentContext context_;
  std::string path_;
  std::unique_ptr<control::Server> server_;
  std::unique_ptr<control::Server> prepared_server_;  // set between PrepareReload and ApplyReload
};

}  // namespace

std::unique_ptr<Component> MakeControlComponent(const ComponentContext& context) {
  return std::make_unique<ControlComponent>(context);
}

}  // namespace aldersill
