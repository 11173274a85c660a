import * as echarts from "echarts";
import type { ReportChart } from "./report_chart.ts";

const WIDTH_PX = 960;
const HEIGHT_PX = 260;

/** Renders a page of SVG charts that needs no script and no other file. */
export function renderReport(
  title: string,
  summary: string,
  charts: readonly ReportChart[],
): string {
  const figures = charts.map((chart) => `<figure>\n${renderChart(chart)}\n</figure>`);
  return [
    "<!doctype html>",
    '<html lang="en">',
    `<head><meta charset="utf-8"><title>${encodeText(title)}</title></head>`,
    "<body>",
    `<h1>${encodeText(title)}</h1>`,
    `<p>${encodeText(summary)}</p>`,
    ...figures,
    "</body>",
    "</html>",
    "",
  ].join("\n");
}

function renderChart(chart: ReportChart): string {
  const view = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH_PX,
    height: HEIGHT_PX,
  });
  try {
    view.setOption({
      animation: false,
      title: { text: chart.title, textStyle: { fontSize: 14 } },
      legend: { top: 24, type: "plain" },
      grid: { top: 70, left: 60, right: 20, bottom: 40 },
      xAxis: { type: "value", name: "s", min: 0 },
      yAxis: { type: "value", name: chart.unit, nameTextStyle: { align: "left" } },
      series: chart.series.map(({ name, points }) => ({
        type: "line",
        name,
        data: points.map((point) => [...point]),
        showSymbol: false,
        ...(chart.isStacked ? { stack: "all", areaStyle: {} } : {}),
      })),
    });
    return view.renderToSVGString();
  } finally {
    view.dispose(); // a chart that is not disposed keeps a timer, which keeps the process running
  }
}

function encodeText(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}
