#include <iostream>

#include "pulleyrouter_wire/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return pulleyrouter::wire::Serve(std::cin, std::cout, std::cerr);
}
