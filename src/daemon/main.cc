// pimentohalld: the daemon beside an upstream VM.
//
//   pimentohalld --settings FILE
//   pimentohalld --check-settings FILE
//
// Signals: SIGTERM and SIGINT begin a planned stop, SIGHUP reloads the
// certificates. Exit codes: 0 stopped or settings in order, 1 a port can't be
// used, 2 bad arguments or settings.

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <random>

#include "pimentohall/core.h"
#include "pimentohall/net.h"

namespace pimentohall {
namespace {

constexpr int kCannotListen = 1;
constexpr int kBadInput = 2;

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

core::engine_options EngineOptions(const net::daemon_settings& settings) {
  // Seeds come from the operating system here; the engine itself has none.
  std::random_device entropy;
  const auto random64 = [&entropy] {
    return (static_cast<std::uint64_t>(entropy()) << 32) | entropy();
  };
  core::engine_options options;
  options.vm = settings.vm;
  options.zone = settings.zone;
  options.incarnation = random64();
  options.seed = random64();
  options.bootstrap_peers = settings.bootstrap_peers;
  return options;
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
  const auto ports = host.Listen();
  if (!ports) {
    net::Log(core::log_level::kError, "can't listen",
             {{"problem", ports.error()}});
    return kCannotListen;
  }
  loop.Run();
  return 0;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Daemon of the service mesh", ' ', net::VersionText());
  TCLAP::ValueArg<std::string> file("s", "settings", "settings to run with",
                                    true, "", "file");
  TCLAP::ValueArg<std::string> check("c", "check-settings",
                                     "settings to check, without running", true,
                                     "", "file");
  line.xorAdd(file, check);
  line.parse(argc, argv);

  const std::string path = file.isSet() ? file.getValue() : check.getValue();
  const auto settings = net::LoadSettings(path);
  if (!settings) {
    for (const config::fault& fault : settings.error()) {
      std::cerr << fault.ToString() << "\n";
    }
    return kBadInput;
  }
  if (check.isSet()) {
    std::cout << path << ": ok\n";
    return 0;
  }
  return Run(*settings);
}

}  // namespace
}  // namespace pimentohall

int main(int argc, char** argv) { return pimentohall::Main(argc, argv); }
