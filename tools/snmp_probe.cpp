#include "snmp_probe.h"

// clang-format off
// Net-SNMP requires this order of its headers.
#include <net-snmp/net-snmp-config.h>
#include <net-snmp/net-snmp-includes.h>
// clang-format on

#include <cstdlib>
#include <memory>
#include <stdexcept>

namespace aldersill::tools {
namespace {

void InitOnce() {
  static const bool done = [] {
    setenv("MIBS", "", 1);
    for (const int option : {NETSNMP_DS_LIB_DONT_READ_CONFIGS, NETSNMP_DS_LIB_DONT_PERSIST_STATE,
                             NETSNMP_DS_LIB_DISABLE_PERSISTENT_LOAD, NETSNMP_DS_LIB_DISABLE_PERSISTENT_SAVE})
      netsnmp_ds_set_boolean(NETSNMP_DS_LIBRARY_ID, option, 1);
    init_snmp("snmp_probe");
    return true;
  }();
  (void)done;
}

std::string Dotted(const oid* name, std::size_t length) {
  std::string text;
  for (std::size_t i = 0; i < length; ++i)
    text += (i > 0 ? "." : "") + std::to_string(name[i]);
  return text;
}

std::string ValueOf(const netsnmp_variable_list* variable) {
  switch (variable->type) {
    case ASN_GAUGE:
    case ASN_INTEGER:
      return std::to_string(*variable->val.integer);
    case ASN_COUNTER64:
      return std::to_string((static_cast<std::uint64_t>(variable->val.counter64->high) << 32) |
                            variable->val.counter64->low);
    case ASN_OCTET_STR:
      return std::string(reinterpret_cast<const char*>(variable->val.string), variable->val_len);
    case SNMP_NOSUCHOBJECT:
      return "noSuchObject";
    case SNMP_NOSUCHINSTANCE:
      return "noSuchInstance";
    case SNMP_ENDOFMIBVIEW:
      return "endOfMibView";
    default:
      return "type " + std::to_string(variable->type);
  }
}

netsnmp_pdu* MakePdu(int command, const std::string& id, long value) {
  oid name[MAX_OID_LEN];
  std::size_t length = MAX_OID_LEN;
  if (read_objid(id.c_str(), name, &length) == 0)
    throw std::runtime_error("snmp: expected an object identifier in dotted form, got '" + id + "'");
  netsnmp_pdu* pdu = snmp_pdu_create(command);
  if (command == SNMP_MSG_SET) {
    snmp_pdu_add_variable(pdu, name, length, ASN_GAUGE, &value, sizeof(value));
  } else {
    snmp_add_null_var(pdu, name, length);
  }
  return pdu;
}

// The agent's answer to a request for `id`.
std::optional<SnmpProbe::Binding> BindingOf(const std::string& id, const netsnmp_pdu& response) {
  if (response.errstat != SNMP_ERR_NOERROR)
    return SnmpProbe::Binding{id, snmp_errstring(static_cast<int>(response.errstat))};
  const netsnmp_variable_list* variable = response.variables;
  if (variable == nullptr)
    return std::nullopt;
  return SnmpProbe::Binding{Dotted(variable->name, variable->name_length), ValueOf(variable)};
}

struct SessionCloser {
  void operator()(void* session) const { snmp_sess_close(session); }
};
struct PduDeleter {
  void operator()(netsnmp_pdu* pdu) const { snmp_free_pdu(pdu); }
};

}  // namespace

SnmpProbe::SnmpProbe(std::uint16_t port, std::string community, int timeout_ms)
    : peer_("udp:127.0.0.1:" + std::to_string(port)),
      community_(std::move(community)),
      timeout_ms_(timeout_ms) {
  InitOnce();
}

void* SnmpProbe::OpenSession() {
  netsnmp_session settings;
  snmp_sess_init(&settings);
  settings.version = SNMP_VERSION_2c;
  settings.peername = peer_.data();
  settings.community = reinterpret_cast<u_char*>(community_.data());
  settings.community_len = community_.size();
  settings.timeout = timeout_ms_ * 1000L;
  settings.retries = 0;
  void* session = snmp_sess_open(&settings);
  if (session == nullptr)
    throw std::runtime_error("snmp: cannot open a session to " + peer_);
  return session;
}

std::optional<SnmpProbe::Binding> SnmpProbe::SendRequest(Request kind, const std::string& id, long value) {
  const int command = kind == Request::kGet       ? SNMP_MSG_GET
                      : kind == Request::kGetNext ? SNMP_MSG_GETNEXT
                                                  : SNMP_MSG_SET;
  const std::unique_ptr<void, SessionCloser> session(OpenSession());
  netsnmp_pdu* received = nullptr;
  // snmp_sess_synch_response() frees the request.
  const int status = snmp_sess_synch_response(session.get(), MakePdu(command, id, value), &received);
  const std::unique_ptr<netsnmp_pdu, PduDeleter> response(received);
  if (status != STAT_SUCCESS || response == nullptr)
    return std::nullopt;
  return BindingOf(id, *response);
}

std::vector<SnmpProbe::Binding> SnmpProbe::Walk(const std::string& root) {
  std::vector<Binding> all;
  for (std::string at = root;;) {
    auto next = GetNext(at);
    if (!next || next->value == "endOfMibView" || !next->id.starts_with(root + "."))
      return all;
    at = next->id;
    all.push_back(std::move(*next));
  }
}

}  // namespace aldersill::tools
