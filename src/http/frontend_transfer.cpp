// Transfers client connections between the processes of a dispatcher during an upgrade.
#include "http/frontend.h"

namespace aldersill {

std::optional<TransferredConnection> HttpFrontend::PrepareTransfer(std::uint64_t client) const {
  const ClientConnection* connection = connections_.Find(client);
  if (connection == nullptr)
    return std::nullopt;
  return connection->PrepareTransfer();
}

void HttpFrontend::CompleteTransfer(std::uint64_t client) {
  ClientConnection* connection = connections_.Find(client);
  if (connection == nullptr)
    return;
  connections_.FinishRequest(client);
  connections_.Remove(connection);
}

std::uint64_t HttpFrontend::ReceiveTransfer(const TransferredConnection& transferred) {
  ClientConnection* connection = AddConnection(transferred.fd);
  const std::uint64_t client = connections_.StartRequest(connection);
  connection->ReceiveTransfer(client, transferred);
  return client;
}

}  // namespace aldersill
