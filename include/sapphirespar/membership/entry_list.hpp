// The routers that a caller should connect to. The list is computed from this
// router's member table, so it stays current while the platform is unavailable.
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
  // How long a caller may cache the list.
  std::chrono::seconds mTimeToLive{ 0 };
};

// Maximum number of addresses in one list.
inline constexpr std::size_t kMaxEntryAddresses = 4;

// Returns live routers only, those of data centre aPreferred first. The choice
// is shuffle-sharded by account, so that overload from one account reaches few
// of the routers that other accounts use. The last address is in another data
// centre if one has a live router.
entry_list EntryAddresses(std::span<const member> aMembers,
                          const account_id& aAccount,
                          const data_centre_id& aPreferred);

} // namespace sapphirespar::membership
