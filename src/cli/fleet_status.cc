#include "cli/fleet_status.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/admin_client.h"
#include "cli/verbs.h"

namespace pimentohall::cli {
namespace {

using json = nlohmann::ordered_json;

constexpr std::size_t kShownDigestLength = 12;

std::string AgeText(std::int64_t age_ms) {
  if (age_ms < 0) return "never";
  std::ostringstream text;
  text << std::fixed << std::setprecision(1)
       << static_cast<double>(age_ms) / 1000 << "s";
  return text.str();
}

void AddToZone(const daemon_status& daemon, std::uint64_t newest,
               fleet_status* fleet) {
  zone_status& zone = fleet->zones[daemon.zone];
  const bool behind = daemon.version < newest;
  if (zone.daemons == 0 || daemon.version < zone.oldest) {
    zone.oldest = daemon.version;
  }
  ++zone.daemons;
  if (daemon.ready) ++zone.ready;
  if (behind) ++zone.behind;
  if (behind) ++fleet->behind;
  zone.max_age_ms = std::max(zone.max_age_ms, daemon.age_ms);
}

}  // namespace

daemon_status QueryDaemon(const std::string& address) {
  daemon_status status;
  status.address = address;
  const auto body = AdminGet(address, "/state");
  if (!body) {
    status.error = body.error().problem;
    return status;
  }
  const json dump = json::parse(*body, nullptr, false);
  if (dump.is_discarded() || !dump.is_object()) {
    status.error = "answered something that is not a state dump";
    return status;
  }
  status.vm = dump.value("vm", "");
  status.zone = dump.value("zone", "");
  status.ready = dump.value("ready", false);
  status.stopping = dump.value("stopping", false);
  const json config = dump.value("config", json::object());
  status.version = config.value("version", std::uint64_t{0});
  status.digest = config.value("digest", "");
  status.age_ms = config.value("age_ms", std::int64_t{-1});
  status.refused_sets = config.value("refused_sets", std::uint64_t{0});
  return status;
}

fleet_status QueryFleet(const std::vector<std::string>& addresses) {
  fleet_status fleet;
  for (const std::string& address : addresses) {
    fleet.daemons.push_back(QueryDaemon(address));
    fleet.newest = std::max(fleet.newest, fleet.daemons.back().version);
  }
  for (const daemon_status& daemon : fleet.daemons) {
    if (daemon.error.empty()) {
      AddToZone(daemon, fleet.newest, &fleet);
    } else {
      ++fleet.unreachable;
    }
  }
  return fleet;
}

int ExitCodeFor(const fleet_status& fleet) {
  if (fleet.unreachable > 0) return kUnreachable;
  return fleet.behind > 0 ? kDiffers : kOk;
}

std::string StatusTable(const fleet_status& fleet) {
  std::ostringstream out;
  out << std::left << std::setw(24) << "VM" << std::setw(16) << "ZONE"
      << std::setw(9) << "VERSION" << std::setw(14) << "DIGEST" << std::setw(9)
      << "AGE"
      << "STATE\n";
  for (const daemon_status& daemon : fleet.daemons) {
    if (!daemon.error.empty()) {
      out << std::setw(24) << daemon.address << daemon.error << "\n";
      continue;
    }
    std::string state = daemon.ready ? "ready" : "not ready";
    if (daemon.stopping) state = "stopping";
    if (daemon.version < fleet.newest) state += ", behind";
    if (daemon.refused_sets > 0) {
      state += ", refused " + std::to_string(daemon.refused_sets) + " set(s)";
    }
    out << std::setw(24) << daemon.vm << std::setw(16) << daemon.zone
        << std::setw(9) << daemon.version << std::setw(14)
        << daemon.digest.substr(0, kShownDigestLength) << std::setw(9)
        << AgeText(daemon.age_ms) << state << "\n";
  }
  out << "\n"
      << std::setw(24) << "ZONE" << std::setw(9) << "DAEMONS" << std::setw(7)
      << "READY" << std::setw(8) << "BEHIND" << std::setw(8) << "OLDEST"
      << "GREATEST AGE\n";
  for (const auto& [name, zone] : fleet.zones) {
    out << std::setw(24) << name << std::setw(9) << zone.daemons << std::setw(7)
        << zone.ready << std::setw(8) << zone.behind << std::setw(8)
        << zone.oldest << AgeText(zone.max_age_ms) << "\n";
  }
  return out.str();
}

std::string StatusJson(const fleet_status& fleet) {
  json daemons = json::array();
  for (const daemon_status& daemon : fleet.daemons) {
    json entry = {{"address", daemon.address}};
    if (!daemon.error.empty()) {
      entry["error"] = daemon.error;
    } else {
      entry["vm"] = daemon.vm;
      entry["zone"] = daemon.zone;
      entry["ready"] = daemon.ready;
      entry["stopping"] = daemon.stopping;
      entry["version"] = daemon.version;
      entry["digest"] = daemon.digest;
      entry["age_ms"] = daemon.age_ms;
      entry["refused_sets"] = daemon.refused_sets;
    }
    daemons.push_back(std::move(entry));
  }
  json zones = json::object();
  for (const auto& [name, zone] : fleet.zones) {
    zones[name] = {{"daemons", zone.daemons},
                   {"ready", zone.ready},
                   {"behind", zone.behind},
                   {"oldest", zone.oldest},
                   {"greatest_age_ms", zone.max_age_ms}};
  }
  return json({{"newest", fleet.newest},
               {"behind", fleet.behind},
               {"unreachable", fleet.unreachable},
               {"zones", std::move(zones)},
               {"daemons", std::move(daemons)}})
      .dump(2);
}

}  // namespace pimentohall::cli
