# Adds the programs of the cases to the project's build. `build.sh` includes
# this file at the end of the project's CMakeLists.txt.
file(GLOB review_harness_sources CONFIGURE_DEPENDS review/harness/*.cc)
add_library(review_harness STATIC ${review_harness_sources})
target_link_libraries(review_harness PUBLIC pimentohall_stream
                      nlohmann_json::nlohmann_json)
foreach(number RANGE 1 5)
  if(EXISTS ${CMAKE_SOURCE_DIR}/review/${number}/case.cc)
    add_executable(review_case_${number} review/${number}/case.cc)
    target_link_libraries(review_case_${number} PRIVATE review_harness)
    list(APPEND review_programs review_case_${number})
  endif()
endforeach()
add_custom_target(review_cases DEPENDS ${review_programs})
