// Asks an SNMP v2c agent on loopback over UDP, with Net-SNMP's client library.
#ifndef ALDERSILL_TOOLS_SNMP_PROBE_H_
#define ALDERSILL_TOOLS_SNMP_PROBE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace aldersill::tools {

constexpr char kAldersillMib[] = "1.3.6.1.4.1.8072.9999.9999.7419";

class SnmpProbe {
 public:
  explicit SnmpProbe(std::uint16_t port, std::string community = "public", int timeout_ms = 5'000);

  struct Binding {
    std::string id;     // dotted
    std::string value;  // as text, or why there is none: noSuchInstance, endOfMibView
  };
  // No value where nobody answers; an error of the agent's comes as its name in `value`.
  std::optional<Binding> Get(const std::string& id) { return SendRequest(kGet, id); }
  std::optional<Binding> GetNext(const std::string& id) { return SendRequest(kGetNext, id); }
  std::optional<Binding> Set(const std::string& id, long value) { return SendRequest(kSet, id, value); }
  // All that stands below an identifier, by GETNEXT.
  std::vector<Binding> Walk(const std::string& root);

 private:
  enum Kind { kGet, kGetNext, kSet };
  std::optional<Binding> SendRequest(Kind kind, const std::string& id, long value = 0);
  std::string peer_;
  std::string community_;
  int timeout_ms_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_SNMP_PROBE_H_
