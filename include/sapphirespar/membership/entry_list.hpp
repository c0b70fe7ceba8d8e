// Which routers a caller should connect to. The answer comes from this
// router's own table, so it stays right while the platform is away.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/blackboard.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sapphirespar::membership {

struct entry_address
{
  vm_id mVm;
  data_centre_id mDataCentre;
  std::string mAddress;
  std::uint16_t mPort = 0;
};

struct entry_list
{
  // In order of preference.
  std::vector<entry_address> mAddresses;
  // How long a caller may keep the answer.
  std::chrono::seconds mTimeToLive{ 0 };
};

// Addresses that one answer names at most.
inline constexpr std::size_t kEntryAddresses = 4;

// Returns only live routers: those of aPreferred first, spread by account so
// that a caller's flood reaches few of the routers that others use. The last
// address is of another data centre if there is one.
entry_list EntryAddresses(std::span<const member> aMembers,
                          const account_id& aAccount,
                          const data_centre_id& aPreferred);

} // namespace sapphirespar::membership
