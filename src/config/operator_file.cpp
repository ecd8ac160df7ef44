#include "config/operator_file.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "config/config.h"
#include "config/near_name.h"

namespace aldersill {
namespace {

constexpr std::size_t kMostBytes = 1 << 20;

enum class Where { kLoopback, kAnywhere };

template <typename T>
struct Word {
  const char* text;
  T value;
};

// ---- The table: every field that there is, once. ----

template <typename V>
void Describe(V& v, FaktorySettings& s) {
  v.Flag("enabled", s.enabled);
  // Neither this wire nor SNMP's has a say in who may speak to it: both stay on this machine.
  v.Address("listen", s.listen, Where::kLoopback);
  v.Millis("fetch_wait_ms", s.fetch_wait, 1, 600'000);
  v.Millis("fetch_patience_ms", s.fetch_timeout, 1, 600'000);
  v.Millis("worker_silence_ms", s.worker_silence, 1, 86'400'000);
  v.Millis("worker_return_ms", s.worker_return, 1, 600'000);
}

template <typename V>
void Describe(V& v, SnmpSettings& s) {
  v.Flag("enabled", s.enabled);
  v.Address("listen", s.listen, Where::kLoopback);
}

template <typename V>
void Describe(V& v, LogSettings& s) {
  v.OneOf("format", s.format,
          std::vector<Word<LogSettings::Format>>{{"text", LogSettings::Format::kText},
                                                 {"json", LogSettings::Format::kJson}});
  v.OneOf("level", s.level,
          std::vector<Word<LogLevel>>{{"debug", LogLevel::kDebug},
                                      {"info", LogLevel::kInfo},
                                      {"warning", LogLevel::kWarning},
                                      {"error", LogLevel::kError}});
  v.Whole("lines_per_second", s.lines_per_second, 1, 10'000);
  v.Whole("burst", s.burst, 1, 100'000);
}

template <typename V>
void Describe(V& v, ControlSettings& s) {
  v.Text("socket", s.socket);
}

template <typename V>
void Describe(V& v, MembershipSettings& s) {
  membership::Settings& c = s.core;
  v.Flag("enabled", s.enabled);
  v.Address("listen", s.listen, Where::kAnywhere);  // each datagram is authenticated
  v.Text("advertise", s.advertise);
  v.Check(s.advertise.empty() || ParseEndpoint(s.advertise).has_value(), "advertise",
          "must be address:port, not '" + s.advertise + "'");
  v.Require(!s.advertise.empty() || s.listen.host != "0.0.0.0", "advertise",
            "is missing: others cannot reach 0.0.0.0");
  v.Text("key_file", s.key_file);
  v.Require(!s.enabled || !s.key_file.empty(), "key_file", "is missing: membership needs a key");
  v.Texts("join", c.join, 16);
  for (const std::string& address : c.join)
    v.Check(ParseEndpoint(address).has_value(), "join", "must hold address:port, not '" + address + "'");
  int weight = static_cast<int>(c.weight);
  v.Whole("weight", weight, 0, 10'000);
  c.weight = static_cast<std::uint32_t>(weight);
  v.Millis("probe_interval_ms", c.probe_interval, 50, 60'000);
  v.Millis("probe_timeout_ms", c.probe_timeout, 10, 60'000);
  v.Check(c.probe_timeout < c.probe_interval, "probe_timeout_ms", "must be less than probe_interval_ms");
  v.Whole("indirect_probes", c.indirect_probes, 0, 16);
  v.Whole("suspicion_rounds", c.suspicion_min_periods, 1, 100);
  v.Whole("suspicion_most", c.suspicion_max_multiplier, 1, 100);
  v.Whole("confirmations", c.confirmations, 0, 16);
  v.Millis("gossip_interval_ms", c.gossip_interval, 10, 60'000);
  v.Whole("gossip_fanout", c.gossip_fanout, 1, 16);
  v.Whole("gossip_burst", c.gossip_burst, 0, 256);
  v.Whole("retransmissions", c.retransmissions, 1, 32);
  v.Whole("rumor_times", c.gossip_transmissions, 1, 32);
  v.Millis("compare_interval_ms", c.anti_entropy_interval, 100, 3'600'000);
  v.Millis("dead_kept_ms", c.dead_retention, 1'000, 604'800'000);
  v.Whole("health_most", c.max_health_score, 0, 32);
  int packet_bytes = static_cast<int>(c.max_packet_bytes), members = static_cast<int>(c.max_members);
  v.Whole("datagram_bytes", packet_bytes, 512, 8'000);
  v.Whole("most_members", members, 2, 100'000);
  c.max_packet_bytes = static_cast<std::size_t>(packet_bytes);
  c.max_members = static_cast<std::size_t>(members);
}

template <typename V>
void Describe(V& v, duties::ProbeSettings& s) {
  v.Millis("interval_ms", s.interval, 100, 3'600'000);
  v.Millis("timeout_ms", s.timeout, 10, 600'000);
  v.Check(2 * s.timeout <= s.interval, "timeout_ms", "must be at most half of interval_ms");
  v.Whole("most_out", s.most_out, 1, 10'000);
}

template <typename V>
void Describe(V& v, DutiesSettings& s) {
  v.Flag("probing", s.probing);
  v.Section("probes", s.probes);
  v.Texts("exclusive", s.exclusive, 64);
  v.Texts("voters", s.voters, 15);
  v.Check(s.exclusive.empty() || s.voters.size() >= 3, "voters",
          "must name at least three instances where a duty is exclusive");
  v.Check(std::set<std::string>(s.voters.begin(), s.voters.end()).size() == s.voters.size(), "voters",
          "must name each instance once");
  v.Check(std::set<std::string>(s.exclusive.begin(), s.exclusive.end()).size() == s.exclusive.size(),
          "exclusive", "must name each duty once");
  v.Millis("lease_ms", s.lease, 1'000, 3'600'000);
  v.Real("most_drift", s.most_drift, 0.0, 0.2);
}

template <typename V>
void Describe(V& v, OperatorSettings& s) {
  v.Section("faktory", s.faktory);
  v.Section("snmp", s.snmp);
  v.Section("logging", s.logging);
  v.Section("control", s.control);
  v.Section("membership", s.membership);
  v.Section("duties", s.duties);
  v.Check(s.membership.enabled || (!s.duties.probing && s.duties.exclusive.empty()), "duties",
          "need membership.enabled");
}

// ---- Reading ----

class Reader {
 public:
  Reader(YAML::Node map, std::string path, const std::string& file)
      : map_(std::move(map)), path_(std::move(path)), file_(file) {
    if (map_.IsNull())
      map_ = YAML::Node(YAML::NodeType::Map);
    if (!map_.IsMap())
      Bad(map_, path_, "must be a map of fields");
    for (const auto& entry : map_) {
      const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
      if (!given_.insert(key).second)
        Bad(entry.first, Below(key), "is given twice");
    }
  }

  void Flag(const char* name, bool& value) {
    Scalar(
        name, [&](const YAML::Node& node) { return YAML::convert<bool>::decode(node, value); },
        "must be true or false");
  }
  void Whole(const char* name, int& value, int least, int most) {
    std::int64_t figure = value;
    Figure(name, figure, least, most, 1);
    value = static_cast<int>(figure);
  }
  void Millis(const char* name, Micros& value, std::int64_t least, std::int64_t most) {
    Figure(name, value, least, most, kMillisecond);
  }
  void Real(const char* name, double& value, double least, double most) {
    Scalar(
        name,
        [&](const YAML::Node& node) {
          double figure = 0;
          if (!YAML::convert<double>::decode(node, figure) || !(figure >= least && figure <= most))
            return false;
          value = figure;
          return true;
        },
        "must be a number from " + Plain(least) + " to " + Plain(most));
  }
  void Text(const char* name, std::string& value) {
    Scalar(
        name,
        [&](const YAML::Node& node) {
          value = node.Scalar();
          return true;
        },
        "");
  }
  void Texts(const char* name, std::vector<std::string>& values, std::size_t most) {
    const YAML::Node node = Take(name);
    if (!node)
      return;
    if (!node.IsSequence())
      Bad(node, Below(name), "must be a list");
    if (node.size() > most)
      Bad(node, Below(name), "must hold at most " + std::to_string(most) + " items");
    values.clear();
    for (std::size_t i = 0; i < node.size(); ++i) {
      if (!node[i].IsScalar() || node[i].Scalar().empty())
        Bad(node[i], Below(name) + "[" + std::to_string(i) + "]", "must be a text that is not empty");
      values.push_back(node[i].Scalar());
    }
  }
  void Address(const char* name, Endpoint& value, Where where) {
    const YAML::Node node = Take(name);
    if (!node)
      return;
    const std::optional<Endpoint> endpoint = node.IsScalar() ? ParseEndpoint(node.Scalar()) : std::nullopt;
    if (!endpoint)
      Bad(node, Below(name),
          "must be address:port" + (node.IsScalar() ? ", not '" + node.Scalar() + "'" : ""));
    if (where == Where::kLoopback && !IsLoopback(*endpoint))
      Bad(node, Below(name), "must be a loopback address");
    value = *endpoint;
  }
  template <typename T>
  void OneOf(const char* name, T& value, const std::vector<Word<T>>& words) {
    const YAML::Node node = Take(name);
    if (!node)
      return;
    const std::string given = node.IsScalar() ? node.Scalar() : "";
    std::vector<std::string> wanted;
    for (const Word<T>& word : words) {
      if (given == word.text)
        return static_cast<void>(value = word.value);
      wanted.push_back(word.text);
    }
    Bad(node, Below(name), "must be one of " + Listed(wanted) + MeantBy(given, wanted));
  }
  template <typename T>
  void Section(const char* name, T& settings) {
    const YAML::Node node = Take(name);
    if (!node)
      return;
    Reader below(node, Below(name), file_);
    Describe(below, settings);
    below.Finish();
  }
  // Two fields that do not go together; `name` is the one at fault.
  void Check(bool holds, const char* name, const std::string& what) {
    if (!holds)
      Bad(std::as_const(map_)[name] ? std::as_const(map_)[name] : map_, Below(name), what);
  }
  // A field that the others make needed.
  void Require(bool holds, const char* name, const std::string& what) {
    if (!holds)
      throw MissingField(Below(name), At(map_) + Below(name) + " " + what);
  }

  // All that is known has been asked for by now.
  void Finish() {
    for (const auto& entry : map_) {
      const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
      if (known_.contains(key))
        continue;
      const std::string meant = MeantBy(key, known_);
      throw UnknownField(Below(key), At(entry.first) + Below(key) + " is unknown" +
                                         (meant.empty() ? "." : meant) + " Accepted: " + Listed(known_));
    }
  }

 private:
  static std::string Plain(double figure) {
    std::string text = std::to_string(figure);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.'))
      text.pop_back();
    return text;
  }
  std::string Below(const std::string& name) const { return path_.empty() ? name : path_ + "." + name; }
  [[noreturn]] void Bad(const YAML::Node& node, const std::string& path, const std::string& what) const {
    throw BadValue(path, At(node) + (path.empty() ? "the file" : path) + " " + what);
  }
  std::string At(const YAML::Node& node) const {
    return file_ + ":" + std::to_string(std::max(0, node.Mark().line) + 1) + ": ";
  }
  template <typename Names>
  static std::string MeantBy(const std::string& given, const Names& names) {
    const std::string near = NearName(given, names);
    return near.empty() ? "" : ": did you mean '" + near + "'?";
  }
  // The field's node; false as a condition where it is left out or null.
  YAML::Node Take(const char* name) {
    known_.insert(name);
    const YAML::Node node = std::as_const(map_)[name];
    return node && !node.IsNull() ? node : YAML::Node(YAML::NodeType::Undefined);
  }
  template <typename F>
  void Scalar(const char* name, F decode, const std::string& must) {
    const YAML::Node node = Take(name);
    if (!node)
      return;
    if (!node.IsScalar() || !decode(node))
      Bad(node, Below(name), must.empty() ? "must be a text" : must);
  }
  void Figure(const char* name, std::int64_t& value, std::int64_t least, std::int64_t most,
              std::int64_t unit) {
    Scalar(
        name,
        [&](const YAML::Node& node) {
          std::int64_t figure = 0;
          if (!YAML::convert<std::int64_t>::decode(node, figure) || figure < least || figure > most)
            return false;
          value = figure * unit;
          return true;
        },
        "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  }

  YAML::Node map_;
  std::string path_;
  const std::string& file_;
  std::set<std::string> given_, known_;
};

// ---- Printing ----

class Printer {
 public:
  explicit Printer(YAML::Emitter* out) : out_(*out) {}
  void Flag(const char* name, bool& value) { Put(name, value); }
  void Whole(const char* name, int& value, int, int) { Put(name, value); }
  void Millis(const char* name, Micros& value, std::int64_t, std::int64_t) {
    Put(name, value / kMillisecond);
  }
  void Real(const char* name, double& value, double, double) { Put(name, value); }
  void Text(const char* name, std::string& value) { Put(name, value); }
  void Texts(const char* name, std::vector<std::string>& values, std::size_t) {
    out_ << YAML::Key << name << YAML::Value << YAML::Flow << values;
  }
  void Address(const char* name, Endpoint& value, Where) { Put(name, ToText(value)); }
  template <typename T>
  void OneOf(const char* name, T& value, const std::vector<Word<T>>& words) {
    for (const Word<T>& word : words) {
      if (word.value == value)
        Put(name, std::string(word.text));
    }
  }
  template <typename T>
  void Section(const char* name, T& settings) {
    out_ << YAML::Key << name << YAML::Value << YAML::BeginMap;
    Describe(*this, settings);
    out_ << YAML::EndMap;
  }
  void Check(bool, const char*, const std::string&) {}
  void Require(bool, const char*, const std::string&) {}

 private:
  template <typename T>
  void Put(const char* name, const T& value) {
    out_ << YAML::Key << name << YAML::Value << value;
  }
  YAML::Emitter& out_;
};

}  // namespace

OperatorSettings ParseOperatorText(const std::string& text, const std::string& name_in_errors) {
  OperatorSettings settings;
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsDefined() || root.IsNull())
      return settings;  // nothing set: all defaults
    Reader reader(root, "", name_in_errors);
    Describe(reader, settings);
    reader.Finish();
  } catch (const YAML::Exception& e) {
    throw ConfigError(name_in_errors + ":" + std::to_string(std::max(0, e.mark.line) + 1) +
                      ": is not YAML: " + e.msg);
  }
  return settings;
}

OperatorSettings ReadOperatorFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw ConfigError(path + ":1: the file cannot be read");
  // In parts: a buffer of the most there may be would cost its pages at each start and SIGHUP.
  std::string text;
  for (char part[4096]; text.size() <= kMostBytes && (file.read(part, sizeof(part)), file.gcount() > 0);)
    text.append(part, static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMostBytes)
    throw ConfigError(path + ":1: the file is longer than 1 MiB");
  return ParseOperatorText(text, path);
}

std::string PrintOperatorSettings(OperatorSettings settings) {
  YAML::Emitter out;
  Printer printer(&out);
  out << YAML::BeginMap;
  Describe(printer, settings);
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace aldersill
