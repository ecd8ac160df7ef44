#include "simulator_adapter/host.h"

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "simulator_adapter/action_writer.h"
#include "simulator_adapter/event_parser.h"
#include "simulator_adapter/line.h"
#include "simulator_adapter/settings_parser.h"

namespace aldersill::simulator_adapter {
namespace {

using dispatch::Action;
using dispatch::ClientGone;
using dispatch::Dispatcher;
using dispatch::Event;
using dispatch::Micros;
using dispatch::RequestId;
using dispatch::TimerFired;
using dispatch::WorkerList;

class Server {
 public:
  Server(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  // Reads one batch of events and writes its reply; false at the end of input.
  bool ServeBatch() {
    do {
      if (!NextLine())
        return false;
    } while (text_.empty());
    const Line opening(text_);
    if (opening.tag() != "turn")
      throw FormatError("'" + std::string(opening.tag()) + "' outside a batch");
    now_ = opening.Int("atTime");
    const std::int64_t serial = opening.Int("serial");
    reply_.clear();
    while (true) {
      if (!NextLine())
        throw FormatError("batch " + std::to_string(serial) + " is truncated");
      const Line line(text_);
      if (line.tag() == "end")
        break;
      HandleLine(line);
    }
    reply_.append("ready\tserial=").append(std::to_string(serial)).append("\n");
    out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
    out_.flush();
    return true;
  }

  std::int64_t line_number() const { return line_number_; }

 private:
  bool NextLine() {
    if (!std::getline(in_, text_))
      return false;
    ++line_number_;
    return true;
  }

  void HandleLine(const Line& line) {
    const std::string_view tag = line.tag();
    const std::int64_t instance = line.Int("who");
    if (tag == "born") {
      StartInstance(instance, ParseInstanceSettings(line));
    } else if (tag == "detach") {
      instances_.erase(instance);
    } else if (tag == "mail") {
      // Instances of this module don't use messages to their neighbours: a well-formed one is ignored.
      line.Int("neighbour");
    } else {
      HandleEvent(instance, ParseEvent(line));
    }
  }

  Event ParseEvent(const Line& line) {
    const std::string_view tag = line.tag();
    if (tag == "announce")
      return ReadWorkerList(line);
    if (tag == "ingress")
      return ParseArrival(line);
    if (tag == "established")
      return ParseStreamStarted(line);
    if (tag == "note")
      return ParseProgress(line);
    if (tag == "settled")
      return ParseAttemptEnded(line);
    if (tag == "dropped")
      return ClientGone{RequestId{static_cast<std::uint64_t>(line.Int("req"))}};
    if (tag == "timer")
      return TimerFired{static_cast<std::uint64_t>(line.Int("token"))};
    if (tag == "probe_done")
      return ParseProbeDone(line);
    throw FormatError("unknown message '" + std::string(tag) + "'");
  }

  WorkerList ReadWorkerList(const Line& line) {
    WorkerList list;
    list.form = ParseListForm(line);
    const std::int64_t entries = line.IntOr("hosts", 0);
    for (std::int64_t i = 0; i < entries; ++i) {
      if (!NextLine())
        throw FormatError("a worker list is truncated");
      const Line entry(text_);
      if (entry.tag() != "m")
        throw FormatError("'" + std::string(entry.tag()) + "' inside a worker list");
      list.workers.push_back(ParseWorker(entry));
    }
    return list;
  }

  void StartInstance(std::int64_t instance, InstanceSettings begin) {
    instances_.erase(instance);
    ReportFaults(instance, [&] {
      instances_[instance] = std::make_unique<Dispatcher>(std::move(begin.settings), begin.seed);
    });
  }

  void HandleEvent(std::int64_t instance, const Event& event) {
    const auto found = instances_.find(instance);
    if (found == instances_.end())
      throw FormatError("field who: no instance " + std::to_string(instance));
    actions_.clear();
    ReportFaults(instance, [&] { found->second->Handle(now_, event, &actions_); });
    for (const Action& action : actions_)
      WriteAction(instance, action, &reply_);
  }

  // Runs `body`; an exception becomes a line in the reply and ends nothing else.
  template <typename Body>
  void ReportFaults(std::int64_t instance, Body body) {
    try {
      body();
    } catch (const std::exception& error) {
      WriteFault(instance, error.what(), &reply_);
    }
  }

  std::istream& in_;
  std::ostream& out_;
  std::string text_;
  std::int64_t line_number_ = 0;
  Micros now_ = 0;
  std::string reply_;
  std::vector<Action> actions_;
  std::unordered_map<std::int64_t, std::unique_ptr<Dispatcher>> instances_;
};

}  // namespace

int Serve(std::istream& in, std::ostream& out, std::ostream& errors) {
  Server server(in, out);
  try {
    while (server.ServeBatch()) {
    }
    return 0;
  } catch (const FormatError& error) {
    errors << "simulator_adapter: line " << server.line_number() << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace aldersill::simulator_adapter
