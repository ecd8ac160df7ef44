#include "simulator_adapter/action_writer.h"

#include <algorithm>
#include <charconv>
#include <type_traits>
#include <variant>

namespace aldersill::simulator_adapter {

using dispatch::Action;
using dispatch::Cancel;
using dispatch::Fail;
using dispatch::Log;
using dispatch::Probe;
using dispatch::Reject;
using dispatch::Send;
using dispatch::SetTimer;
using dispatch::SubscribeList;

namespace {

// Appends lines about one instance to `out`. The call operators write the line of an action, without the line
// end.
class ActionWriter {
 public:
  ActionWriter(std::int64_t instance, std::string* out) : instance_(instance), out_(out) {}

  void operator()(const Send& send) {
    Begin("forward");
    Field("req", static_cast<std::uint64_t>(send.request));
    Field("executor", send.worker);
    if (send.give_up_at != 0)
      Field("stopAt", send.give_up_at);
  }
  void operator()(const Cancel& cancel) {
    Begin("stop_attempt");
    Field("req", static_cast<std::uint64_t>(cancel.request));
    Field("shot", cancel.attempt_number);
  }
  void operator()(const Reject& rejection) {
    Begin("shed");
    Field("req", static_cast<std::uint64_t>(rejection.request));
    if (rejection.retry_after > 0)
      Field("notBeforeFor", rejection.retry_after);
  }
  void operator()(const Fail& failure) {
    Begin("lose");
    Field("req", static_cast<std::uint64_t>(failure.request));
  }
  void operator()(const SetTimer& timer) {
    Begin("sleep");
    Field("sleepFor", timer.delay);
    Field("token", timer.token);
  }
  void operator()(const Probe& probe) {
    Begin("poll");
    Field("executor", probe.worker);
  }
  void operator()(const SubscribeList& /*subscribe*/) {
    Begin("stream_changes");
    Field("on", 1);
  }
  void operator()(const Log& log) {
    Begin("write_log");
    Field("message", OneLine(log.text));
  }

  // Starts a line: the tag and the number of the instance.
  void Begin(std::string_view tag) {
    out_->append(tag);
    Field("who", instance_);
  }
  template <typename T>
  void Field(std::string_view name, const T& value) {
    out_->append("\t").append(name).append("=");
    if constexpr (std::is_arithmetic_v<T>) {
      char digits[24];
      const auto end = std::to_chars(digits, digits + sizeof(digits), value).ptr;
      out_->append(digits, end);
    } else {
      out_->append(value);
    }
  }
  // Replaces line ends and tabs, which would split the field, by spaces.
  static std::string OneLine(std::string_view text) {
    std::string line(text);
    std::replace_if(
        line.begin(), line.end(),
        [](char character) { return character == '\n' || character == '\t' || character == '\r'; }, ' ');
    return line;
  }

 private:
  std::int64_t instance_;
  std::string* out_;
};

}  // namespace

void WriteAction(std::int64_t instance, const Action& action, std::string* out) {
  std::visit(ActionWriter(instance, out), action);
  out->push_back('\n');
}

void WriteFault(std::int64_t instance, std::string_view message, std::string* out) {
  ActionWriter writer(instance, out);
  writer.Begin("broken");
  writer.Field("message", ActionWriter::OneLine(message));
  out->push_back('\n');
}

}  // namespace aldersill::simulator_adapter
