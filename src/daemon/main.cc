// pimentohalld: the daemon beside each upstream VM.
//
//   pimentohalld --settings FILE        runs until stopped
//   pimentohalld --check-settings FILE  prints every fault and exits
//   pimentohalld --platform             runs on the users' platform, which
//                                       provides the path of the settings
//
// Signals: SIGTERM and SIGINT begin a planned stop, SIGHUP reloads the
// certificates, or the settings on the users' platform. Exit status: 0 after a
// planned stop or good settings, 1 if a port or a certificate can't be used, 2
// for bad settings or arguments.

#include <malloc.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <random>

#include "pimentohall/net.h"
#include "pimentohall/node.h"
#include "platform/platform.h"

namespace pimentohall {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

class core_engine : public net::decision_engine {
 public:
  core_engine(core::engine_options options, core::instant start)
      : engine_(std::move(options), start) {}

  core::actions Handle(const core::event& event, core::instant now) override {
    return engine_.Handle(event, now);
  }
  core::instant NextWake() const override { return engine_.NextWake(); }
  bool IsReady() const override { return engine_.IsReady(); }
  std::shared_ptr<const config::config_set> Set() const override {
    return engine_.Set();
  }
  core::counters Counters() const override { return engine_.Counters(); }
  std::string Dump(core::instant now) const override {
    return engine_.Dump(now);
  }
  std::string Explain(const core::call_arrived& call,
                      core::instant now) const override {
    return engine_.Explain(call, now);
  }

 private:
  core::engine engine_;
};

std::uint64_t RandomNumber() {
  std::random_device source;
  return std::uniform_int_distribution<std::uint64_t>()(source);
}

core::engine_options EngineOptions(const net::daemon_settings& settings) {
  core::engine_options options;
  options.vm = settings.vm;
  options.zone = settings.zone;
  options.incarnation = RandomNumber();
  options.seed = RandomNumber();
  options.bootstrap_peers = settings.bootstrap_peers;
  return options;
}

int PrintFaults(const config::faults& faults) {
  for (const config::fault& fault : faults) {
    std::fprintf(stderr, "%s\n", fault.ToString().c_str());
  }
  return kExitBadSettings;
}

int Run(const net::daemon_settings& settings) {
  net::SetLogLevel(settings.level);
  net::event_loop loop;
  net::daemon_host host(
      loop, settings,
      std::make_unique<core_engine>(EngineOptions(settings), loop.Now()));
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal_number, [&host] { host.BeginStop(); });
  }
  loop.OnSignal(SIGHUP, [&host] { host.ReloadCertificates(); });
  if (const auto ports = host.Listen(); !ports) {
    net::Log(core::log_level::kError, "can't start",
             {{"problem", ports.error()}});
    return kExitFailed;
  }
  loop.Run();
  return 0;
}

void ReloadNode(node::node* daemon, const std::string& path) {
  const auto settings = platform::LoadSettings(path);
  if (settings) {
    daemon->Reload(*settings);
    return;
  }
  for (const config::fault& fault : settings.error()) {
    net::Log(core::log_level::kError, "settings not reloaded",
             {{"fault", fault.ToString()}});
  }
}

// Larger buffers are returned to the system when they are freed, so that the
// daemon doesn't keep the peak memory of a large configuration.
constexpr int kMmapThresholdBytes = 64 * 1024;

int RunOnPlatform() {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  const auto path = platform::SettingsPath();
  if (!path) {
    std::fprintf(stderr, "%s\n", path.error().c_str());
    return kExitBadSettings;
  }
  const auto settings = platform::LoadSettings(*path);
  if (!settings) return PrintFaults(settings.error());
  net::event_loop loop;
  net::timer_service timers(loop);
  const net::log_stream log(loop, timers, {});
  node::node daemon(loop, timers, *settings,
                    platform::MakeAdapter(loop, timers, settings->source));
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal_number, [&daemon] { daemon.BeginStop(); });
  }
  loop.OnSignal(SIGHUP, [&] { ReloadNode(&daemon, *path); });
  if (const auto started = daemon.Start(); !started) {
    net::Log(core::log_level::kError, "can't start",
             {{"problem", started.error()}});
    return kExitFailed;
  }
  loop.Run();
  return 0;
}

struct arguments {
  std::string settings;
  bool check_only = false;
  bool on_platform = false;
};

// TCLAP reports errors as exceptions; none leaves this function.
tl::expected<arguments, std::string> ParseArguments(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Configuration and call proxy of a service mesh", ' ',
                        net::VersionText());
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> run(
        "s", "settings", "Runs with these settings", true, "", "FILE");
    TCLAP::ValueArg<std::string> check("c", "check-settings",
                                       "Checks these settings and exits", true,
                                       "", "FILE");
    TCLAP::SwitchArg on_platform("p", "platform",
                                 "Runs on the users' platform");
    std::vector<TCLAP::Arg*> modes = {&run, &check, &on_platform};
    line.xorAdd(modes);
    line.parse(argc, argv);
    if (on_platform.isSet()) return arguments{"", false, true};
    if (check.isSet()) return arguments{check.getValue(), true};
    return arguments{run.getValue(), false};
  } catch (const TCLAP::ArgException& problem) {
    return tl::make_unexpected(problem.error() + " " + problem.argId());
  } catch (const TCLAP::ExitException& exit) {
    std::exit(exit.getExitStatus());
  }
}

int Main(int argc, char** argv) {
  const auto parsed = ParseArguments(argc, argv);
  if (!parsed) {
    std::fprintf(stderr, "%s\n", parsed.error().c_str());
    return kExitBadSettings;
  }
  if (parsed->on_platform) return RunOnPlatform();
  const auto settings = net::LoadSettings(parsed->settings);
  if (!settings) return PrintFaults(settings.error());
  if (parsed->check_only) {
    std::printf("%s: ok\n", parsed->settings.c_str());
    return 0;
  }
  return Run(*settings);
}

}  // namespace
}  // namespace pimentohall

int main(int argc, char** argv) { return pimentohall::Main(argc, argv); }
