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

// The state behind Serve(): the streams, the reply under construction and the instances.
class Server {
 public:
  Server(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  // Reads one batch of events and writes its reply. Returns false at the end of input. Throws FormatError if
  // the batch is malformed.
  bool ServeBatch() {
    do {
      if (!NextLine())
        return false;
    } while (text_.empty());
    const Line opening(text_);
    if (opening.tag() != "turn")
      throw FormatError("message '" + std::string(opening.tag()) + "' where 'turn' must begin a batch");
    now_ = opening.Int("atTime");
    const std::int64_t serial = opening.Int("serial");
    reply_.clear();
    while (true) {
      if (!NextLine())
        throw FormatError("batch " + std::to_string(serial) +
                          " is truncated: the input ends before its 'end' line");
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

  // Number of the line read last, from 1.
  std::int64_t line_number() const { return line_number_; }

 private:
  // Reads the next line into text_. Returns false at the end of input.
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
      // The decision module exchanges no messages between instances, so a well-formed one is ignored.
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

  // Parses the header line of a worker list and reads its entries, one line each.
  WorkerList ReadWorkerList(const Line& line) {
    WorkerList list;
    list.form = ParseListForm(line);
    const std::int64_t entries = line.IntOr("hosts", 0);
    for (std::int64_t i = 0; i < entries; ++i) {
      if (!NextLine())
        throw FormatError("worker list is truncated: the input ends before its last entry");
      const Line entry(text_);
      if (entry.tag() != "m")
        throw FormatError("message '" + std::string(entry.tag()) +
                          "' where an entry 'm' of a worker list must follow");
      list.workers.push_back(ParseWorker(entry));
    }
    return list;
  }

  // Creates the instance, replacing one of the same number. Invalid settings are reported as its fault.
  void StartInstance(std::int64_t instance, InstanceSettings parsed) {
    instances_.erase(instance);
    ReportFaults(instance, [&] {
      instances_[instance] = std::make_unique<Dispatcher>(std::move(parsed.settings), parsed.seed);
    });
  }

  void HandleEvent(std::int64_t instance, const Event& event) {
    const auto found = instances_.find(instance);
    if (found == instances_.end())
      throw FormatError("field who: there is no instance " + std::to_string(instance));
    actions_.clear();
    ReportFaults(instance, [&] { found->second->Handle(now_, event, &actions_); });
    for (const Action& action : actions_)
      WriteAction(instance, action, &reply_);
  }

  // Runs `body`. An exception is reported as a line of the reply; the other instances are not affected.
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
  std::string text_;  // the line read last
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
