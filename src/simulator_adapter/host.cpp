#include "simulator_adapter/host.h"

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "simulator_adapter/codec.h"

namespace aldersill::dispatch::simulator {
namespace {

class Host {
 public:
  Host(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  // Serves one batch; false at the end of input.
  bool ServeBatch() {
    do {
      if (!NextLine())
        return false;
    } while (text_.empty());
    const Line opening(text_);
    if (opening.tag() != "turn")
      throw WireError("'" + std::string(opening.tag()) + "' outside a batch");
    now_ = opening.Int("atTime");
    const std::int64_t serial = opening.Int("serial");
    reply_.clear();
    while (true) {
      if (!NextLine())
        throw WireError("batch " + std::to_string(serial) + " is truncated");
      const Line line(text_);
      if (line.tag() == "end")
        break;
      ServeEvent(line);
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

  void ServeEvent(const Line& line) {
    const std::string_view tag = line.tag();
    const std::int64_t who = line.Int("who");
    if (tag == "born") {
      Birth birth = ParseBirth(line);
      instances_.erase(who);
      Guard(who,
            [&] { instances_[who] = std::make_unique<Dispatcher>(std::move(birth.settings), birth.seed); });
    } else if (tag == "detach") {
      instances_.erase(who);
    } else if (tag == "announce") {
      Handle(who, ReadList(line));
    } else if (tag == "ingress") {
      Handle(who, ParseArrival(line));
    } else if (tag == "established") {
      Handle(who, ParseStreamStarted(line));
    } else if (tag == "note") {
      Handle(who, ParseProgress(line));
    } else if (tag == "settled") {
      Handle(who, ParseAttemptEnded(line));
    } else if (tag == "dropped") {
      Handle(who, ClientGone{RequestId{static_cast<std::uint64_t>(line.Int("req"))}});
    } else if (tag == "timer") {
      Handle(who, TimerFired{static_cast<std::uint64_t>(line.Int("token"))});
    } else if (tag == "probe_done") {
      Handle(who, ParseProbeDone(line));
    } else if (tag == "mail") {
      line.Int(
          "neighbour");  // The module keeps no counsel with its peers: a well-formed message is set aside.
    } else {
      throw WireError("unknown message '" + std::string(tag) + "'");
    }
  }

  WorkerList ReadList(const Line& line) {
    WorkerList list;
    list.form = ParseListForm(line);
    const std::int64_t entries = line.IntOr("hosts", 0);
    for (std::int64_t i = 0; i < entries; ++i) {
      if (!NextLine())
        throw WireError("a worker list is truncated");
      const Line entry(text_);
      if (entry.tag() != "m")
        throw WireError("'" + std::string(entry.tag()) + "' inside a worker list");
      list.workers.push_back(ParseWorker(entry));
    }
    return list;
  }

  void Handle(std::int64_t who, Event event) {
    const auto found = instances_.find(who);
    if (found == instances_.end())
      throw WireError("field who: no instance " + std::to_string(who));
    actions_.clear();
    Guard(who, [&] { found->second->Handle(now_, event, &actions_); });
    for (const Action& action : actions_)
      WriteAction(who, action, &reply_);
  }

  template <typename Body>
  void Guard(std::int64_t who, Body body) {
    try {
      body();
    } catch (const std::exception& e) {
      WriteFault(who, e.what(), &reply_);
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
  Host host(in, out);
  try {
    while (host.ServeBatch()) {
    }
    return 0;
  } catch (const WireError& e) {
    errors << "simulator_adapter: line " << host.line_number() << ": " << e.what() << "\n";
    return 1;
  }
}

}  // namespace aldersill::dispatch::simulator
