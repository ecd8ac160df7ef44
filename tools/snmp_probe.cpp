#include "snmp_probe.h"

// clang-format off
// Net-SNMP's headers come in this order.
#include <net-snmp/net-snmp-config.h>
#include <net-snmp/net-snmp-includes.h>
// clang-format on

#include <cstdlib>
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

std::string ValueOf(const netsnmp_variable_list* var) {
  switch (var->type) {
    case ASN_GAUGE:
    case ASN_INTEGER:
      return std::to_string(*var->val.integer);
    case ASN_COUNTER64:
      return std::to_string((static_cast<std::uint64_t>(var->val.counter64->high) << 32) |
                            var->val.counter64->low);
    case ASN_OCTET_STR:
      return std::string(reinterpret_cast<const char*>(var->val.string), var->val_len);
    case SNMP_NOSUCHOBJECT:
      return "noSuchObject";
    case SNMP_NOSUCHINSTANCE:
      return "noSuchInstance";
    case SNMP_ENDOFMIBVIEW:
      return "endOfMibView";
    default:
      return "type " + std::to_string(var->type);
  }
}

}  // namespace

SnmpProbe::SnmpProbe(std::uint16_t port, std::string community, int timeout_ms)
    : peer_("udp:127.0.0.1:" + std::to_string(port)),
      community_(std::move(community)),
      timeout_ms_(timeout_ms) {
  InitOnce();
}

std::optional<SnmpProbe::Binding> SnmpProbe::SendRequest(Kind kind, const std::string& id, long value) {
  netsnmp_session wanted;
  snmp_sess_init(&wanted);
  wanted.version = SNMP_VERSION_2c;
  wanted.peername = peer_.data();
  wanted.community = reinterpret_cast<u_char*>(community_.data());
  wanted.community_len = community_.size();
  wanted.timeout = timeout_ms_ * 1000L;
  wanted.retries = 0;
  void* session = snmp_sess_open(&wanted);
  if (session == nullptr)
    throw std::runtime_error("snmp: cannot open a session");
  oid name[MAX_OID_LEN];
  std::size_t length = MAX_OID_LEN;
  if (read_objid(id.c_str(), name, &length) == 0)
    throw std::runtime_error("snmp: not an identifier: " + id);
  netsnmp_pdu* pdu = snmp_pdu_create(kind == kGet       ? SNMP_MSG_GET
                                     : kind == kGetNext ? SNMP_MSG_GETNEXT
                                                        : SNMP_MSG_SET);
  if (kind == kSet) {
    snmp_pdu_add_variable(pdu, name, length, ASN_GAUGE, &value, sizeof(value));
  } else {
    snmp_add_null_var(pdu, name, length);
  }
  netsnmp_pdu* response = nullptr;
  std::optional<Binding> binding;
  if (snmp_sess_synch_response(session, pdu, &response) == STAT_SUCCESS && response != nullptr) {
    const netsnmp_variable_list* var = response->variables;
    if (response->errstat != SNMP_ERR_NOERROR) {
      binding = Binding{id, snmp_errstring(static_cast<int>(response->errstat))};
    } else if (var != nullptr) {
      binding = Binding{Dotted(var->name, var->name_length), ValueOf(var)};
    }
  }
  if (response != nullptr)
    snmp_free_pdu(response);
  snmp_sess_close(session);
  return binding;
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
